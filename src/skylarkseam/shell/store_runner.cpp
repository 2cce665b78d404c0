#include <skylarkseam/shell/store_runner.hpp>

namespace skylarkseam {

store_runner::store_runner(event_loop& loop, const platform_binding& binding, std::string url,
                           std::uint64_t seed, const store_timing& timing, output_handler on_output)
    : loop_(loop)
    , binding_(binding)
    , url_(std::move(url))
    , on_output_(std::move(on_output))
    , http_(loop)
    , follower_(timing, seed)
    , timer_(loop, [this] { run(); }) {
    follower_.set_scope(store_scope::nothing, {}, loop_.now());
}

void store_runner::set_scope(store_scope scope, bool in_stead, const store_revisions& known,
                             std::uint64_t incarnation) {
    follower_.set_relaxed_retry(in_stead);
    if (incarnation > follower_.incarnation()) {
        follower_.note_incarnation(incarnation, loop_.now());
        run();
    }
    if (scope != follower_.scope()) {
        follower_.set_scope(scope, known, loop_.now());
        run();
    }
}

void store_runner::run() {
    std::vector<store_call> calls;
    follower_.take_calls(loop_.now(), calls);
    for (const auto& it : calls) {
        send(it);
    }
    timer_.set(follower_.next_wakeup());
}

void store_runner::send(const store_call& call) {
    ++calls_;
    http_request request;
    request.url = url_ + binding_.target_of(call);
    request.timeout = call.timeout;
    http_.send(std::move(request), [this, call](const http_response& response) {
        std::vector<store_output> events;
        auto answer = binding_.read_answer(call, response.status, response.body, response.detail,
                                           response.header(binding_.dialect.store_incarnation));
        follower_.take_answer(call.kind, std::move(answer), loop_.now(), events);
        if (!events.empty()) {
            on_output_(std::move(events));
        }
        run();
    });
}

} // namespace skylarkseam
