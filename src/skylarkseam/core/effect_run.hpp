// Execution of an effect (a non-idempotent request): one subquery to one searcher, which is never hedged,
// retried or resent.
#pragma once

#include <skylarkseam/core/run_context.hpp>

namespace skylarkseam {

/// Invariant: at most one batch is sent for the request, and it contains one subquery.
class effect_run {
public:
    effect_run(query_id id, query_request request, const service& settings,
               std::shared_ptr<group_state> group, time_point arrived);

    void start(run_context& context);
    void on_reply(std::uint32_t owner, subquery_reply& reply, run_context& context);
    void on_batch_failed(std::uint32_t owner, const coordinator_event::batch_failed& event,
                         run_context& context);
    void on_status_update(run_context& context);
    void on_time(run_context& context);
    /// Does nothing: the effect continues, since its outcome is recorded even if the caller disconnects.
    void on_caller_disconnected(run_context& /*context*/) {}

    [[nodiscard]] bool done() const { return done_; }
    [[nodiscard]] bool waits_for_status() const { return !sent_; }
    [[nodiscard]] time_point next_check() const { return next_check_; }
    [[nodiscard]] const std::string& caller() const { return request_.caller; }
    [[nodiscard]] const std::string& group_name() const { return group_->name(); }

    std::optional<time_point> pending_timer; ///< Earliest pending timer of the coordinator for this run.

private:
    [[nodiscard]] const mapped_shard* pick_shard() const;
    bool try_send(run_context& context);
    void succeed(const subquery_reply& reply, std::vector<hit> hits, run_context& context);
    void fail(run_context& context, error value);

    query_id id_;
    query_request request_;
    std::shared_ptr<group_state> group_;
    std::uint64_t caller_hash_ = 0;
    request_class cls_;
    time_point answer_at_{};
    duration hop_reserve_{};
    time_point next_check_{};
    bool sent_ = false;
    bool done_ = false;
    std::uint32_t owner_ = owner_table::none;
    shard_copy copy_;
    shard_id shard_ = 0;
    snapshot_id snapshot_ = 0;
};

} // namespace skylarkseam
