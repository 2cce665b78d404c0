// Takes deferrable jobs in, finds them and cancels them. A job is acknowledged only once it is known to be
// stored; a cancellation is a result that is stored before the job's own.
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

using intake_id = std::uint64_t; ///< one arrival at this node, given by the shell

struct job_intake_settings {
    duration first_backoff = milliseconds(50);
    duration longest_backoff = seconds(2);
    std::size_t most_open = 10'000;
};

namespace intake_event {
/// Answered with the stored job.
struct job_submitted {
    intake_id id = 0;
    query_request request;
    time_point deadline{}; ///< for the storing; the job itself has none
};
/// Answered with the job as it is stored now.
struct job_asked_for {
    intake_id id = 0;
    std::string job;
    std::string caller; ///< must be the job's; empty for an operator
    time_point deadline{};
};
/// Answered with the cancelled job; error_kind::conflict where it had already ended.
struct job_cancelled {
    intake_id id = 0;
    std::string job;
    std::string by; ///< who cancels, for the record
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

    /// Takes one event and appends what is to be done, in order.
    void handle(intake_input event, time_point now, std::vector<intake_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const { return timers_.next(); }
    [[nodiscard]] std::size_t open() const { return entries_.size(); }

private:
    enum class purpose { submit, find, cancel };
    enum class step { creating, reading_live, reading_result, storing_cancellation };

    struct entry {
        intake_id id = 0;
        purpose aim = purpose::submit;
        step now_in = step::creating;
        job_record job;
        std::string caller;
        std::string by;
        std::string live_version;       ///< cancel: of the live object as it was read
        std::optional<job_record> live; ///< submit: what stood in the way of the create
        bool created = false;  ///< submit: the live object is stored; a result of the same key may stand
        bool in_doubt = false; ///< a change with a lost answer may have taken effect
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

    entry* open_entry(intake_id id, purpose aim, time_point deadline, outputs& out);
    void on_created(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_read(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_cancellation(entry& it, const platform_response& response, time_point now, outputs& out);
    void judge(entry& it, const platform_object& object, outputs& out);
    void judge_submitted(entry& it, job_record stored, outputs& out);
    void go(entry& it, step next, outputs& out);
    void remove_live(const entry& it, outputs& out);
    void retry_later(entry& it, time_point now, outputs& out);
    void answer(const entry& it, result<job_record> reply, outputs& out);
    [[nodiscard]] static error lost(const entry& it);

    std::string self_;
    std::uint64_t incarnation_;
    job_intake_settings settings_;
    std::map<intake_id, entry> entries_;
    std::map<platform_call_id, intake_id> calls_;
    timer_set<intake_id> timers_; ///< of the back-off or the deadline, whichever comes first
    platform_call_id last_call_ = 0;
    std::uint64_t last_token_ = 0;
};

} // namespace skylarkseam
