// Execution of one query from its arrival to its answer: waits for the status of the group's searchers,
// scatters on one snapshot and one shard map, hedges, retries, merges, and answers completely or partially.
#pragma once

#include <skylarkseam/core/run_context.hpp>
#include <skylarkseam/core/top_hits.hpp>

namespace skylarkseam {

/// Invariants: all merged replies come from snapshot_ and the shard map of group_; a shard is merged at most
/// once; merged_ + failed_ + without_holder_ + (number of open shards) == the number of shards.
class query_run {
public:
    query_run(query_id id, query_request request, const service& settings, std::shared_ptr<group_state> group,
              time_point arrived);

    void start(run_context& context);
    void on_reply(std::uint32_t owner, subquery_reply& reply, run_context& context);
    void on_batch_failed(std::uint32_t owner, const coordinator_event::batch_failed& event,
                         run_context& context);
    /// Handles new status of the group's searchers.
    void on_status_update(run_context& context);
    void on_time(run_context& context);
    void on_caller_disconnected(run_context& context);

    [[nodiscard]] bool done() const { return phase_ == phase::done; }
    [[nodiscard]] bool waits_for_status() const { return phase_ == phase::waiting || without_holder_ > 0; }
    [[nodiscard]] time_point next_check() const { return next_check_; }
    [[nodiscard]] const std::string& caller() const { return request_.caller; }
    [[nodiscard]] const std::string& group_name() const { return group_->name(); }

    std::optional<time_point> pending_timer; ///< Earliest pending timer of the coordinator for this run.

private:
    enum class phase { waiting, running, done };
    /// `failed`: no attempt is left. `without_holder`: no replica is known to hold the snapshot.
    enum class shard_phase { open, merged, failed, without_holder };
    enum class retry_cost { free, charged };
    enum class attempt_kind {
        first,
        extra,       ///< Hedge or retry, charged to the extra-load budget.
        replacement, ///< Replaces an attempt that no searcher ran; not charged.
    };

    struct attempt {
        std::uint32_t shard = 0; ///< Index into shard_map::shards.
        shard_copy copy;
        std::uint32_t owner = 0;
        std::uint32_t previous = none; ///< Preceding attempt at the same shard.
        time_point sent_at{};
        bool open = true;
        bool extra = false;
    };
    struct shard_progress {
        shard_phase phase = shard_phase::open;
        std::uint32_t last_attempt = none;
        std::uint8_t attempts = 0;
        std::uint8_t open_attempts = 0;
        time_point hedge_at{};
    };
    static constexpr std::uint32_t none = UINT32_MAX;

    void wait_for_status(run_context& context);
    void poll_owners(run_context& context);
    void plan(run_context& context);
    bool send(std::uint32_t shard, attempt_kind kind, run_context& context);
    void fill_header(subquery_batch& batch, const run_context& context) const;
    [[nodiscard]] duration current_hedge_delay(time_point now) const;

    /// Returns the open attempt that a reply belongs to, or null if the reply is late, a duplicate or
    /// mismatched.
    attempt* find_attempt(std::uint32_t owner, const subquery_reply& reply);
    void merge(attempt& it, subquery_reply& reply, run_context& context);
    void close(attempt& it, run_context& context, bool abandoned);
    [[nodiscard]] bool counts_as_searcher_failure(const subquery_reply& reply) const;
    void on_failed_attempt(attempt& it, retry_cost cost, run_context& context);
    void mark_no_replica_left(std::uint32_t shard, run_context& context);
    void send_due_hedges(run_context& context);
    void cancel_other_attempts(std::uint32_t shard, run_context& context);
    void cancel_all(run_context& context);
    void retry_shards_without_holder(run_context& context);
    bool replan(run_context& context);
    void finish_or_schedule(run_context& context);
    void schedule(time_point now);

    void finish(run_context& context, bool at_deadline);
    [[nodiscard]] error failure(bool at_deadline) const;
    void answer(run_context& context, result<query_answer> value);

    query_id id_;
    query_request request_;
    std::shared_ptr<group_state> group_;
    double minimum_coverage_ = 0.0;
    double budget_percent_ = 0.0;
    request_class cls_ = request_class::interactive;
    std::uint64_t caller_hash_ = 0;
    time_point answer_at_{}; ///< Time at which the query is answered with the replies merged so far.
    duration hop_reserve_{}; ///< Time subtracted from an owner's deadline for the hop of its reply.
    time_point next_check_{};
    time_point status_wait_until_{}; ///< End of the wait for status updates.
    phase phase_ = phase::waiting;

    snapshot_id snapshot_ = 0;
    std::vector<shard_progress> shards_; ///< Progress of each shard, in the order of shard_map::shards.
    std::vector<attempt> attempts_;      ///< Attempts of all plans, indexed by attempt number.
    std::uint32_t plan_start_ = 0;       ///< Number of the current plan's first attempt.
    std::uint32_t merged_ = 0;
    std::uint32_t failed_ = 0;
    std::uint32_t without_holder_ = 0;
    std::uint32_t replans_ = 0;
    std::uint32_t first_attempts_ = 0;
    std::uint32_t extra_attempts_ = 0;
    std::uint32_t possibly_run_ = 0; ///< Number of attempts that ran or may have run.
    top_hits hits_;
    std::vector<dispatch_record> dispatches_;
    std::vector<std::uint32_t> tried_searchers_; ///< Buffer for replica selection; reused between calls.
};

} // namespace skylarkseam
