// Runs stored jobs: follows this node's buckets, takes jobs under a lease with a fencing token, runs a
// bounded number of them at a time, and moves each ended one from its live object to a result that is created
// once.
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
    std::uint32_t concurrency = 4;   ///< jobs that this node runs at a time: the share that jobs always have
    duration lease = seconds(15);    ///< a lease whose record stays unchanged for so long is taken over
    duration run_time = seconds(30); ///< deadline of one attempt
    std::uint32_t most_attempts = 8; ///< a job is parked as failed after so many
    duration first_backoff = seconds(1);
    duration longest_backoff = std::chrono::minutes(1);
    duration call_backoff = milliseconds(500); ///< between two tries of one platform call
    std::size_t answer_bytes = 900U << 10U;    ///< a job with a larger answer fails, with that reason
    job_bucket_settings buckets;
};

/// How one run of a job ended.
enum class job_run_end {
    answered,
    not_run,  ///< refused before it ran, for now: tried again without counting an attempt
    failed,   ///< may succeed when tried again
    hopeless, ///< would fail in the same way again, or may not be run again
};

namespace job_event {
struct run_ended {
    std::string job;
    std::uint64_t fence = 0; ///< of the run_job that it answers
    job_run_end end = job_run_end::failed;
    std::string answer_json;
    std::string reason;
};
struct time_passed {};
} // namespace job_event

using job_input = std::variant<platform_answer, job_event::run_ended, job_event::time_passed>;

namespace job_action {
/// Answered by one run_ended, unless it is withdrawn.
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

    /// The members share the buckets between them; runs under way go on.
    void set_members(const std::vector<member>& members);

    /// Takes no further job from now on; runs under way end.
    void drain() { draining_ = true; }

    /// Takes one event and appends what is to be done, in order.
    void handle(job_input event, time_point now, std::vector<job_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t running() const { return runs_.size(); }
    [[nodiscard]] std::size_t backlog() const { return known_.size(); } ///< live jobs of this node's buckets
    [[nodiscard]] const job_counters& counters() const { return counters_; }

private:
    enum class step {
        taking,     ///< the lease is being written
        checking,   ///< for a result that an earlier holder left
        running,    ///< with a renewal under way or not
        committing, ///< the result is being created
        requeueing, ///< the lease is being given back
        removing,   ///< the live object goes, as the result is stored
    };

    /// A job that this node has taken, or is about to take.
    /// Invariant: at most one platform call is under way.
    struct run {
        job_record job;
        std::string last_holder; ///< before this node
        std::string version;     ///< of the live object under our lease
        step now_in = step::taking;
        bool calling = false;
        bool rereading = false; ///< the live object is read, to learn what a lost answer did
        std::optional<job_event::run_ended> ended; ///< while a renewal was under way
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
    void take_change(const bucket_change& change, time_point now, outputs& out);
    void put_in_line(const std::string& id, time_point now, time_point earliest);
    void start_runs(time_point now, outputs& out);
    void take(const std::string& id, outputs& out);

    void on_answer(run& it, const platform_response& response, time_point now, outputs& out);
    void on_reread(run& it, const platform_response& response, time_point now, outputs& out);
    void on_lease_written(run& it, const platform_response& response, time_point now, outputs& out);
    void on_checked(run& it, const platform_response& response, time_point now, outputs& out);
    void on_committed(run& it, const platform_response& response, time_point now, outputs& out);
    void on_released(run& it, const platform_response& response, time_point now, outputs& out);
    void end_run(run& it, job_event::run_ended& event, outputs& out);
    void go(run& it, step next, outputs& out);
    void call(run& it, platform_method method, const std::string& kind, outputs& out);
    void reread(run& it, outputs& out);
    void retry_later(run& it, time_point now);
    void repeat_step(run& it, outputs& out);
    void drop(run& it, time_point now, outputs& out);
    [[nodiscard]] duration backoff_after(std::uint64_t leases) const;

    std::string self_;
    std::uint64_t incarnation_;
    job_settings settings_;
    bool draining_ = false;
    std::map<std::string, job_bucket> buckets_; ///< by kind
    std::map<std::string, live_job> known_;     ///< by job id
    job_queue queue_;                           ///< of the known jobs without a run here
    std::map<std::string, run> runs_;           ///< by job id
    timer_set<std::string> timers_;             ///< of the runs: renewal or next try of a call
    std::map<platform_call_id, std::string> bucket_calls_;
    std::map<platform_call_id, std::string> run_calls_;
    platform_call_id last_call_ = 0;
    job_counters counters_;
};

} // namespace skylarkseam
