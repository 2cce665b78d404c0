// Runs the coordinator's decisions: its batches become streams to the owners, or calls to this node's own
// owner part.
#pragma once

#include <skylarkseam/core/coordinator.hpp>
#include <skylarkseam/shell/metrics.hpp>
#include <skylarkseam/shell/owner_runner.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

#include <functional>
#include <set>
#include <string>
#include <unordered_map>

namespace skylarkseam {

class query_runner {
public:
    using answer_sink = std::function<void(result<query_answer> answer)>;

    query_runner(event_loop& loop, peer_client& peers, owner_runner& local, metrics& measured,
                 std::string node, const std::string& incarnation, std::uint64_t seed,
                 duration peer_timeout = seconds(1));

    /// Starts a query; `on_answer` is called exactly once, unless the query is abandoned.
    query_id start(query_request request, answer_sink on_answer);
    void abandon(query_id id);

    void set_configuration(std::shared_ptr<const configuration> config);
    void set_ownership(std::shared_ptr<const ownership> owners);

    [[nodiscard]] const coordinator& state() const { return coordinator_; }

private:
    /// A batch on its way: the attempts that have not been replied to yet.
    struct open_batch {
        std::string owner;
        query_id query = 0;
        std::set<std::uint32_t> waiting;
    };

    void handle(coordinator_input event);
    void perform(coordinator_action::send_batch& action);
    void perform(coordinator_action::send_cancel& action);
    void perform(coordinator_action::request_status& action);
    void perform(coordinator_action::answer_query& action);
    void take_reply(const std::shared_ptr<open_batch>& batch, subquery_reply reply);
    void end_batch(const std::shared_ptr<open_batch>& batch, bool sent);
    [[nodiscard]] std::string address_of(const std::string& node) const;

    event_loop& loop_;
    peer_client& peers_;
    owner_runner& local_;
    metrics& measured_;
    std::string node_;
    std::string self_; ///< node and incarnation, as in subquery_batch::coordinator
    coordinator coordinator_;
    duration peer_timeout_; ///< of a cancellation or a question about a group
    wakeup_timer timer_;
    std::shared_ptr<const ownership> owners_;
    query_id last_query_ = 0;
    std::unordered_map<query_id, answer_sink> sinks_;
};

} // namespace skylarkseam
