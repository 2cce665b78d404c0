// Carries the polls for registrations between the second source of a zone and the other gateways there.
#pragma once

#include <skylarkseam/gateway/peer_group.hpp>
#include <skylarkseam/gateway/searcher_polls.hpp>
#include <skylarkseam/shell/event_loop.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/wire/gateway_codec.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace skylarkseam {

struct second_source_handlers {
    /// Another gateway polls this one; called before its poll is held.
    std::function<void(const searchers_request& request)> on_request;
    /// A call has ended. \param update  absent if it failed
    std::function<void(const peer_call& call, const std::optional<replica_update>& update)> on_answer;
};

class second_source_runner {
public:
    /// \param known  what is handed on; outlives the runner
    second_source_runner(event_loop& loop, peer_client& client, peer_server& server,
                         const store_replica& known, const peer_timing& timing,
                         second_source_handlers handlers);

    void serve();
    /// \param self  this gateway
    void call(const peer_call& it, const gateway_identity& self);
    void answer_due();
    void answer_all();
    [[nodiscard]] std::optional<time_point> next_wakeup() const { return polls_.next_wakeup(); }

private:
    void answer(const std::vector<held_searcher_poll>& polls);

    event_loop& loop_;
    peer_client& client_;
    peer_server& server_;
    const store_replica& known_;
    peer_timing timing_;
    second_source_handlers handlers_;
    searcher_polls polls_;
    std::map<std::uint64_t, std::shared_ptr<peer_responder>> responders_; ///< of the held polls
    std::uint64_t last_poll_id_ = 0;
};

} // namespace skylarkseam
