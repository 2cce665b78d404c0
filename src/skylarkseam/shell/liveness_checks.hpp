// Finds out whether a searcher answers: sends a liveness request on a connection of its own and closes it.
#pragma once

#include <skylarkseam/gateway/exchange.hpp>
#include <skylarkseam/shell/upstream_connection.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace skylarkseam {

class liveness_checks {
public:
    /// Called once for each check, not from within start().
    /// \param answer  the searcher's answer, if there is one
    using handler =
        std::function<void(std::uint64_t id, check_result result, std::optional<upstream_response> answer)>;

    /// \param id_header  header that names the searcher that a request is meant for
    liveness_checks(event_loop& loop, std::string id_header, handler on_result);
    ~liveness_checks();
    liveness_checks(const liveness_checks&) = delete;
    liveness_checks& operator=(const liveness_checks&) = delete;

    /// Any answer of the searcher counts, also one that refuses the request.
    void start(const gateway_action::check_searcher& action);

private:
    struct check {
        std::unique_ptr<upstream_connection> connection;
        timer_id timer = -1;
    };

    /// Ends the check from the event loop, since the connection may be the caller.
    void finish_soon(std::uint64_t id, const upstream_result& result);
    void finish(std::uint64_t id, check_result result, std::optional<upstream_response> answer);
    void set_timer(std::uint64_t id, duration timeout, check_result result);

    event_loop& loop_;
    std::string id_header_;
    handler on_result_;
    std::unordered_map<std::uint64_t, check> open_; ///< by id
    /// Expires with this object; what is posted to the loop may run later.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace skylarkseam
