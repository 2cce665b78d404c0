// One query from its arrival to its answer: waits for knowledge of the group, scatters on one snapshot and
// one shard map, hedges, retries, merges, and answers whole or partially.
#pragma once

#include <skylarkseam/core/run_context.hpp>
#include <skylarkseam/core/top_hits.hpp>

namespace skylarkseam {

/// Invariants: all that is merged comes from snapshot_ under the shard map of group_; a shard is merged at
/// most once; merged_ + given_up_ + lost_ + (shards still open) == the number of shards.
class query_run {
public:
    query_run(query_id id, query_request request, const service& settings, std::shared_ptr<group_state> group,
              time_point arrived);

    void start(run_context& context);
    void on_reply(std::uint32_t owner, subquery_reply& reply, run_context& context);
    void on_batch_failed(std::uint32_t owner, const coordinator_event::batch_failed& event,
                         run_context& context);
    /// Something new is known of the group.
    void on_knowledge(run_context& context);
    void on_time(run_context& context);
    void on_caller_left(run_context& context);

    [[nodiscard]] bool done() const { return phase_ == phase::done; }
    [[nodiscard]] bool wants_knowledge() const { return phase_ == phase::waiting || lost_ > 0; }
    [[nodiscard]] time_point next_check() const { return next_check_; }
    [[nodiscard]] const std::string& caller() const { return request_.caller; }
    [[nodiscard]] const std::string& group_name() const { return group_->name(); }

    std::optional<time_point> scheduled; ///< the coordinator's earliest timer for this run

private:
    enum class phase { waiting, running, done };
    enum class shard_phase { open, merged, given_up, lost };
    enum class retry_price { free, paid };
    enum class attempt_kind {
        first,
        extra,       ///< a hedge or a retry, paid from the budget
        replacement, ///< for an attempt that no searcher ran
    };

    struct attempt {
        std::uint32_t shard = 0; ///< index into the map's shards
        shard_copy copy;
        std::uint32_t owner = 0;
        std::uint32_t previous = none; ///< the attempt before it at the same shard
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

    void wait_for_knowledge(run_context& context);
    void ask_owners(run_context& context);
    void plan(run_context& context);
    bool send(std::uint32_t shard, attempt_kind kind, run_context& context);
    void fill_header(subquery_batch& batch, const run_context& context) const;
    [[nodiscard]] duration current_hedge_delay(time_point now) const;

    /// The attempt that a reply belongs to, or null: late, crossed, duplicate or unknown.
    attempt* match(std::uint32_t owner, const subquery_reply& reply);
    void merge(attempt& it, subquery_reply& reply, run_context& context);
    void close(attempt& it, run_context& context, bool slow);
    [[nodiscard]] bool speaks_against_searcher(const subquery_reply& reply) const;
    void on_failed_attempt(attempt& it, retry_price price, run_context& context);
    void mark_unanswerable(std::uint32_t shard, run_context& context);
    void hedge_due(run_context& context);
    void cancel_losers(std::uint32_t shard, run_context& context);
    void cancel_all(run_context& context);
    void retry_lost(run_context& context);
    bool replan(run_context& context);
    void settle(run_context& context);
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
    std::uint64_t caller_key_ = 0;
    time_point answer_at_{}; ///< when the caller gets what there is
    duration hop_reserve_{}; ///< kept of an owner's deadline for its reply
    time_point next_check_{};
    time_point lost_until_{}; ///< how long lost shards are waited for
    phase phase_ = phase::waiting;

    snapshot_id snapshot_ = 0;
    std::vector<shard_progress> shards_; ///< by the map's shards
    std::vector<attempt> attempts_;      ///< by attempt number, of all plans
    std::uint32_t plan_start_ = 0;       ///< the first attempt of the plan in force
    std::uint32_t merged_ = 0;
    std::uint32_t given_up_ = 0;
    std::uint32_t lost_ = 0;
    std::uint32_t replans_ = 0;
    std::uint32_t first_attempts_ = 0;
    std::uint32_t extra_attempts_ = 0;
    std::uint32_t maybe_run_ = 0; ///< attempts that ran or may have run
    top_hits hits_;
    std::vector<dispatch_record> dispatches_;
    std::vector<std::uint32_t> tried_; ///< reused while a replica is picked
};

} // namespace skylarkseam
