// The jobs of a node's buckets that wait for a run: which one is next, in rotation between callers.
#pragma once

#include <skylarkseam/control/timer_set.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace skylarkseam {

/// Invariant: a job is ready, waits for its time, or is neither; never both.
class job_queue {
public:
    /// Puts a job in line once `when` has come, in place of an earlier entry.
    /// \param order  of the job within its caller; a lower one goes first
    void add(const std::string& job, const std::string& caller, std::uint64_t order, time_point when);
    void remove(const std::string& job);

    /// Removes and returns the next ready job: the callers take turns, each with its oldest one.
    std::optional<std::string> take(time_point now);

    /// When a job that waits becomes ready; now or earlier where one is ready already.
    [[nodiscard]] std::optional<time_point> next_wakeup() const { return waiting_.next(); }
    [[nodiscard]] bool has_ready() const { return !ready_.empty(); }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string caller;
        std::uint64_t order = 0;
    };
    void make_ready(time_point now);

    std::map<std::string, entry> entries_;
    timer_set<std::string> waiting_;
    std::map<std::string, std::set<std::pair<std::uint64_t, std::string>>> ready_; ///< by caller, none empty
    std::string last_caller_;
};

} // namespace skylarkseam
