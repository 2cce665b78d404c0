// Waiting jobs of a node's buckets. Ready jobs are taken round-robin between callers.
#pragma once

#include <skylarkseam/control/timer_set.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace skylarkseam {

/// Invariant: a job is never both ready and waiting for its time.
class job_queue {
public:
    /// Queues a job that becomes ready at `when`, and replaces its earlier entry.
    /// \param order  position of the job among its caller's jobs; the lowest one is taken first
    void add(const std::string& job, const std::string& caller, std::uint64_t order, time_point when);
    void remove(const std::string& job);

    /// Removes and returns the next ready job: the one of the next caller, in rotation, with the lowest
    /// order.
    std::optional<std::string> pop_ready(time_point now);

    /// Earliest time at which a waiting job becomes ready; the time may have passed already.
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
    /// Ready jobs by caller; no set is empty.
    std::map<std::string, std::set<std::pair<std::uint64_t, std::string>>> ready_;
    std::string last_caller_;
};

} // namespace skylarkseam
