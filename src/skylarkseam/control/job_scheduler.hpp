// Runs stored jobs. Follows this node's buckets, takes jobs under a lease with a fencing token, and runs a
// bounded number of them at a time. Moves each ended job from its live object to a result. The result is
// created only once and is never overwritten.
#pragma once

#include <skylarkseam/control/job_bucket.hpp>
#include <skylarkseam/control/job_queue.hpp>
#include <skylarkseam/control/job_record.hpp>
#include <skylarkseam/core/ownership.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

struct job_settings {
    std::uint32_t concurrency = 4; ///< Number of jobs that this node runs at a time, reserved for jobs.
    duration lease = seconds(15);  ///< Time without a change of the record after which a lease is taken over.
    duration run_time = seconds(30); ///< Time limit of one attempt.
    std::uint32_t max_attempts = 8;  ///< Number of attempts after which a job is parked as failed.
    duration initial_backoff = seconds(1);
    duration max_backoff = std::chrono::minutes(1);
    duration call_retry_delay = milliseconds(500); ///< Time between two tries of a platform call.
    std::size_t max_answer_bytes = 900U << 10U; ///< Size limit of an answer; a job with a larger one fails.
    job_bucket_settings buckets;
};

/// End of one run of a job.
enum class job_run_end {
    answered,
    not_run,           ///< The run was refused for now; the job is retried without counting an attempt.
    failed,            ///< The run failed, but a retry may succeed.
    permanent_failure, ///< The job would fail in the same way again, or must not run again.
};

namespace job_event {
struct run_ended {
    std::string job;
    std::uint64_t fence = 0; ///< Fencing token of the run_job that it answers.
    job_run_end end = job_run_end::failed;
    std::string answer_json;
    std::string reason;
};
struct time_passed {};
} // namespace job_event

using job_input = std::variant<platform_answer, job_event::run_ended, job_event::time_passed>;

namespace job_action {
/// Starts a run. The shell reports its end by one run_ended unless the job is withdrawn.
struct run_job {
    std::string job;
    std::uint64_t fence = 0;
    query_request request;
    time_point deadline{};
};
struct withdraw_job {
    std::string job;
};
} // namespace job_action

using job_output = std::variant<platform_call, job_action::run_job, job_action::withdraw_job>;

struct job_counters {
    std::uint64_t runs = 0;
    std::uint64_t done = 0;
    std::uint64_t requeued = 0;
    std::uint64_t parked = 0;
    std::uint64_t taken_over = 0;
    std::uint64_t lost_leases = 0;
    std::uint64_t unreadable = 0;
};

class job_scheduler {
public:
    using time_event = job_event::time_passed;

    job_scheduler(std::string self, std::uint64_t incarnation, job_settings settings = {});

    /// Sets the members, among which the buckets are divided. Active runs continue.
    void set_members(const std::vector<member>& members);

    /// Stops taking jobs. Active runs continue to their end.
    void drain() { draining_ = true; }

    /// Handles one event and appends the resulting actions in order.
    void handle(job_input event, time_point now, std::vector<job_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t running() const { return runs_.size(); }
    /// Number of live jobs in this node's buckets.
    [[nodiscard]] std::size_t backlog() const { return known_.size(); }
    [[nodiscard]] const job_counters& counters() const { return counters_; }

private:
    enum class step {
        acquiring_lease, ///< The lease is being written.
        checking_result, ///< The job's result is being read, as an earlier holder may have stored one.
        running,         ///< The job runs; a renewal of the lease may be pending.
        committing,      ///< The result is being created.
        requeueing,      ///< The job is being stored as queued, which releases the lease.
        removing,        ///< The result is stored, and the live object is being removed.
    };

    /// A job on which this node holds a lease or is acquiring one.
    /// Invariant: at most one platform call is pending.
    struct run {
        job_record job;
        std::string previous_holder; ///< Holder of the lease before this node.
        std::string version;         ///< Version of the live object under this node's lease.
        step current_step = step::acquiring_lease;
        bool calling = false;
        bool rereading = false; ///< Whether the live object must be read to find out if a write took effect.
        std::optional<job_event::run_ended> pending_end; ///< End of the run that arrived during a renewal.
    };
    struct live_job {
        job_record job;
        std::string version;
    };

    using outputs = std::vector<job_output>;

    void on(platform_answer& event, time_point now, outputs& out);
    void on(job_event::run_ended& event, time_point now, outputs& out);
    void on(job_event::time_passed& event, time_point now, outputs& out);

    void call_buckets(time_point now, outputs& out);
    void apply_change(const bucket_change& change, time_point now, outputs& out);
    void enqueue(const std::string& id, time_point now, time_point earliest);
    void start_runs(time_point now, outputs& out);
    void acquire_lease(const std::string& id, outputs& out);

    void on_answer(run& it, const platform_response& response, time_point now, outputs& out);
    void on_reread(run& it, const platform_response& response, time_point now, outputs& out);
    void on_lease_written(run& it, const platform_response& response, time_point now, outputs& out);
    void on_result_checked(run& it, const platform_response& response, time_point now, outputs& out);
    void on_committed(run& it, const platform_response& response, time_point now, outputs& out);
    void on_released(run& it, const platform_response& response, time_point now, outputs& out);
    void end_run(run& it, job_event::run_ended& event, outputs& out);
    void start_step(run& it, step next, outputs& out);
    void call(run& it, platform_method method, const std::string& kind, outputs& out);
    void reread(run& it, outputs& out);
    void schedule_retry(run& it, time_point now);
    void repeat_step(run& it, outputs& out);
    void abandon_run(run& it, time_point now, outputs& out);
    [[nodiscard]] duration backoff_after(std::uint64_t leases) const;

    std::string self_;
    std::uint64_t incarnation_;
    job_settings settings_;
    bool draining_ = false;
    std::map<std::string, job_bucket> buckets_; ///< This node's buckets by kind.
    std::map<std::string, live_job> known_;     ///< Live jobs by job ID.
    job_queue queue_;                           ///< Known jobs without a run on this node.
    std::map<std::string, run> runs_;           ///< Runs of this node by job ID.
    timer_set<std::string> timers_;             ///< Timers of the runs: lease renewal or next try of a call.
    std::map<platform_call_id, std::string> bucket_calls_;
    std::map<platform_call_id, std::string> run_calls_;
    platform_call_id last_call_ = 0;
    job_counters counters_;
};

} // namespace skylarkseam
