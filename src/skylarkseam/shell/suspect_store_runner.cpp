#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/suspect_store_runner.hpp>

namespace skylarkseam {
namespace {

constexpr duration call_timeout = milliseconds(1200);

std::string_view name_of(suspect_store_call::kind kind) {
    switch (kind) {
    case suspect_store_call::kind::list:
        return "list";
    case suspect_store_call::kind::create:
        return "create";
    case suspect_store_call::kind::remove:
        return "remove";
    }
    return {};
}

} // namespace

suspect_store_runner::suspect_store_runner(event_loop& loop, const platform_binding& binding, std::string url,
                                           std::uint64_t seed, suspect_source source)
    : loop_(loop)
    , binding_(binding)
    , url_(std::move(url))
    , source_(std::move(source))
    , http_(loop)
    , store_(seed)
    , timer_(loop, [this] { run(); }) {}

void suspect_store_runner::set_duty(store_duty duty) {
    const bool changed = duty.watching != duty_.watching || duty.alone != duty_.alone;
    duty_ = duty;
    if (changed) {
        run();
    }
}

void suspect_store_runner::note_restored() {
    store_.note_restored(loop_.now());
    run();
}

void suspect_store_runner::note_suspect(const std::string& fingerprint, bool found_here) {
    if (found_here) {
        store_.note_found(fingerprint);
    }
    run();
}

void suspect_store_runner::run() {
    if (const auto call = store_.take_call(source_.known(), duty_, loop_.now())) {
        send(*call);
    }
    timer_.set(store_.next_wakeup(source_.known(), duty_, loop_.now()));
}

void suspect_store_runner::send(const suspect_store_call& call) {
    ++calls_;
    auto encoded = binding_.request_of(call);
    http_request request;
    request.method = std::move(encoded.method);
    request.url = url_ + encoded.target;
    request.body = std::move(encoded.body);
    if (!request.body.empty()) {
        request.headers.emplace_back("Content-Type: application/json");
    }
    request.timeout = call_timeout;
    http_.send(std::move(request), [this, call](const http_response& response) {
        const auto answer = binding_.read_suspects(call, response.status, response.body);
        const bool failed = answer.status == suspect_store_status::unavailable;
        if (failed || call.what != suspect_store_call::kind::list) {
            log_event(failed ? log_level::warning : log_level::info, "suspects_stored",
                      {{"call", name_of(call.what)},
                       {"fingerprint", call.entry.fingerprint},
                       {"outcome", failed ? "failed" : "done"},
                       {"fault", response.status == 0 ? response.detail : answer.detail}});
        }
        const auto fresh = store_.take_answer(call, answer, loop_.now());
        if (answer.more && !store_.listing()) {
            log_event(log_level::warning, "listing_incomplete",
                      {{"kind", "suspects"}, {"entries", answer.names.size()}});
        }
        if (!fresh.empty()) {
            log_event(log_level::info, "suspects_listed", {{"entries", fresh.size()}});
            source_.merge(fresh);
        }
        run();
    });
}

} // namespace skylarkseam
