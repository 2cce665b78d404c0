#include <skylarkseam/shell/liveness_checks.hpp>

namespace skylarkseam {
namespace {

constexpr std::size_t answer_limit = 64U << 10U;

upstream_request liveness_request(const gateway_action::check_searcher& action,
                                  const std::string& id_header) {
    upstream_request out;
    out.bytes = "GET " + action.liveness_path + " HTTP/1.1\r\nHost: " + action.address + "\r\n" + id_header +
                ": " + action.searcher + "\r\nConnection: close\r\n\r\n";
    return out;
}

check_result result_of(const upstream_result& result) {
    if (result.response) {
        return check_result::answered;
    }
    if (result.sent) {
        return check_result::silent;
    }
    return result.fault == connection_fault::refused ? check_result::refused : check_result::no_answer;
}

} // namespace

liveness_checks::liveness_checks(event_loop& loop, std::string id_header, handler on_result)
    : loop_(loop)
    , id_header_(std::move(id_header))
    , on_result_(std::move(on_result)) {}

liveness_checks::~liveness_checks() {
    for (const auto& [id, it] : open_) {
        loop_.cancel(it.timer);
    }
}

void liveness_checks::start(const gateway_action::check_searcher& action) {
    const auto id = action.id;
    auto& it = open_[id];
    upstream_connection::handlers callbacks;
    callbacks.on_sending = [this, id, timeout = action.answer_timeout] {
        set_timer(id, timeout, check_result::silent);
    };
    callbacks.on_result = [this, id](const upstream_result& result) { finish_soon(id, result); };
    callbacks.on_closed = [] {};
    it.connection =
        std::make_unique<upstream_connection>(loop_, action.address, answer_limit, std::move(callbacks));
    set_timer(id, action.timeout, check_result::no_answer);
    it.connection->send(liveness_request(action, id_header_));
}

void liveness_checks::set_timer(std::uint64_t id, duration timeout, check_result result) {
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    loop_.cancel(found->second.timer);
    found->second.timer = loop_.run_after(timeout, [this, id, result] { finish(id, result, std::nullopt); });
}

void liveness_checks::finish_soon(std::uint64_t id, const upstream_result& result) {
    loop_.post([this, id, result, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.lock()) {
            finish(id, result_of(result), result.response);
        }
    });
}

void liveness_checks::finish(std::uint64_t id, check_result result, std::optional<upstream_response> answer) {
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    const auto it = std::move(found->second);
    open_.erase(found);
    loop_.cancel(it.timer);
    it.connection->close();
    on_result_(id, result, std::move(answer));
}

} // namespace skylarkseam
