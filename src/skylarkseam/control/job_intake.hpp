// Stores, looks up and cancels deferrable jobs. A job is acknowledged only once it is known to be stored. A
// cancellation is stored as the job's result, which prevents the run's own result from being stored.
#pragma once

#include <skylarkseam/control/job_record.hpp>
#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/control/timer_set.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

using intake_id = std::uint64_t; ///< Identifier, assigned by the shell, of one arrival at this node.

struct job_intake_settings {
    duration initial_backoff = milliseconds(50);
    duration max_backoff = seconds(2);
    std::size_t max_open = 10'000;
};

namespace intake_event {
/// Submission of a job, answered with the stored job.
struct job_submitted {
    intake_id id = 0;
    query_request request;
    time_point deadline{}; ///< Deadline for storing the job; its run has another one.
};
/// Lookup of a job, answered with the job as it is stored.
struct job_asked_for {
    intake_id id = 0;
    std::string job;
    std::string caller; ///< Caller that must own the job; empty for an operator.
    time_point deadline{};
};
/// Cancellation of a job, answered with the cancelled job, or with error_kind::conflict if it has already
/// ended.
struct job_cancelled {
    intake_id id = 0;
    std::string job;
    std::string by; ///< Name of whoever cancels, stored in the job's reason.
    time_point deadline{};
};
struct time_passed {};
} // namespace intake_event

using intake_input = std::variant<intake_event::job_submitted, intake_event::job_asked_for,
                                  intake_event::job_cancelled, platform_answer, intake_event::time_passed>;

struct intake_answer {
    intake_id id = 0;
    result<job_record> answer;
};

using intake_output = std::variant<platform_call, intake_answer>;

class job_intake {
public:
    using time_event = intake_event::time_passed;

    job_intake(std::string self, std::uint64_t incarnation, job_intake_settings settings = {});

    /// Handles one event and appends the resulting actions in order.
    void handle(intake_input event, time_point now, std::vector<intake_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const { return timers_.next(); }
    [[nodiscard]] std::size_t open() const { return entries_.size(); }

private:
    enum class operation_kind { submit, find, cancel };
    enum class step { creating, reading_live, reading_result, storing_cancellation };

    struct entry {
        intake_id id = 0;
        operation_kind operation = operation_kind::submit;
        step current_step = step::creating;
        job_record job;
        std::string caller;
        std::string by;
        std::string live_version;       ///< Version of the live object to cancel.
        std::optional<job_record> live; ///< Live job that the create conflicted with.
        bool created = false; ///< Whether this submission's live object is stored; a result may exist.
        bool write_ambiguous = false; ///< Whether a write with a lost answer may have taken effect.
        time_point deadline{};
        duration backoff{};
        std::optional<time_point> retry_at;
    };

    using outputs = std::vector<intake_output>;

    void on(intake_event::job_submitted& event, time_point now, outputs& out);
    void on(intake_event::job_asked_for& event, time_point now, outputs& out);
    void on(intake_event::job_cancelled& event, time_point now, outputs& out);
    void on(platform_answer& event, time_point now, outputs& out);
    void on(intake_event::time_passed& event, time_point now, outputs& out);

    entry* open_entry(intake_id id, operation_kind operation, time_point deadline, outputs& out);
    void on_created(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_read(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_cancellation(entry& it, const platform_response& response, time_point now, outputs& out);
    void handle_stored_job(entry& it, const platform_object& object, outputs& out);
    void answer_submission(entry& it, job_record stored, outputs& out);
    void start_step(entry& it, step next, outputs& out);
    void remove_live(const entry& it, outputs& out);
    void retry_later(entry& it, time_point now, outputs& out);
    void answer(const entry& it, result<job_record> reply, outputs& out);
    [[nodiscard]] static error unconfirmed_error(const entry& it);

    std::string self_;
    std::uint64_t incarnation_;
    job_intake_settings settings_;
    std::map<intake_id, entry> entries_;
    std::map<platform_call_id, intake_id> calls_;
    timer_set<intake_id> timers_; ///< Timers of the backoff or the deadline, whichever comes first.
    platform_call_id last_call_ = 0;
    std::uint64_t last_token_ = 0;
};

} // namespace skylarkseam
