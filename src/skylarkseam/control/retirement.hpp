// Removes the stored outcomes of claims and the results of jobs after their retention time. Also sets claims
// whose holder has not stored an outcome for a long time to unknown, so that operators find them.
#pragma once

#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/control/version_clock.hpp>
#include <skylarkseam/core/ownership.hpp>

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

struct retirement_settings {
    duration retention = std::chrono::hours(24);
    /// Time in state `claimed` after which a claim's holder counts as failed. It is far longer than any
    /// deadline.
    duration claim_grace = std::chrono::minutes(5);
    duration clock_interval = std::chrono::minutes(1);  ///< Time between two marks of the version clock.
    duration sweep_interval = std::chrono::minutes(10); ///< Time between two lists of one bucket.
    duration change_interval = milliseconds(200);       ///< Minimum time between two removals or updates.
};

struct retirement_counters {
    std::uint64_t lists = 0;
    std::uint64_t retired = 0;
    std::uint64_t made_unknown = 0;
};

class retirement {
public:
    /// \param kinds  all buckets to sweep; they are divided among the members
    retirement(std::string self, std::vector<std::string> kinds, retirement_settings settings = {});

    void set_members(std::vector<member> members) { members_ = std::move(members); }

    void handle(const platform_answer& event, time_point now, std::vector<platform_call>& out);
    void pass_time(time_point now, std::vector<platform_call>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const { return wakeup_; }
    [[nodiscard]] const retirement_counters& counters() const { return counters_; }

private:
    enum class step { idle, reading_clock, writing_clock, listing, changing };

    void start_round(time_point now, std::vector<platform_call>& out);
    void on_clock_read(const platform_response& response, time_point now, std::vector<platform_call>& out);
    void on_clock_written(const platform_response& response, time_point now, std::vector<platform_call>& out);
    void on_list(const platform_response& response);
    void next_step(time_point now, std::vector<platform_call>& out);
    void call(step next, platform_request request, std::vector<platform_call>& out);
    void queue_change_if_due(const platform_object& object);

    std::string self_;
    std::vector<std::string> kinds_;
    retirement_settings settings_;
    std::vector<member> members_;
    step step_ = step::idle; ///< State of the pending call; at most one call is pending.
    platform_call_id last_call_ = 0;
    std::optional<time_point> wakeup_ = time_point{};
    version_clock clock_;
    std::string clock_version_;             ///< Last seen version of the clock's object; empty if never seen.
    time_point clock_seen_{};               ///< Time at which clock_version_ was first seen.
    time_point next_sweep_{};               ///< Time of the next sweep of this node's buckets.
    std::deque<std::string> kinds_to_list_; ///< Buckets that remain in this sweep.
    std::deque<platform_request> pending_changes_;
    retirement_counters counters_;
};

} // namespace skylarkseam
