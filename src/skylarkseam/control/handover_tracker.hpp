// Which of its searchers a member may serve: those that nobody else can still be serving. Also tells the next
// owners when this member has drained what it gave up.
#pragma once

#include <skylarkseam/control/cell_record.hpp>

#include <map>
#include <set>

namespace skylarkseam {

/// Searchers that this node serves from now on, or stops serving.
struct ownership_step {
    std::vector<std::string> started;
    std::vector<std::string> handed_over; ///< those of `started` that their former owner has drained
    std::vector<std::string> stopped;

    [[nodiscard]] bool empty() const { return started.empty() && stopped.empty(); }
};

class handover_tracker {
public:
    /// \param self  name and incarnation of this node
    handover_tracker(std::string self, std::uint64_t incarnation)
        : self_(std::move(self))
        , incarnation_(incarnation) {}

    /// Takes on a new epoch, learned of at `now`.
    void adopt(const cell_record& record, time_point now, ownership_step& step);

    /// The former owner has drained searchers; false if it names one that this node does not yet know to own.
    bool release(const std::string& former, std::uint64_t incarnation, epoch_id epoch,
                 const std::vector<std::string>& searchers, time_point now, ownership_step& step);

    /// Starts what has been waited for long enough.
    void advance(time_point now, ownership_step& step);

    /// This node has no work left at a searcher that it stopped serving.
    void drained(const std::string& searcher);

    /// The next owner knows that the searcher is drained.
    void release_received(const std::string& searcher);

    /// Drained searchers that their next owner has not been told of.
    [[nodiscard]] const std::set<std::string>& to_release() const { return to_release_; }
    [[nodiscard]] const std::set<std::string>& draining() const { return draining_; }
    [[nodiscard]] const std::set<std::string>& serving() const { return serving_; }
    /// Searchers that this node owns but does not yet serve.
    [[nodiscard]] std::size_t waiting() const;

    /// Whether a handover may still be waited for, as far as this node knows.
    [[nodiscard]] bool still_waiting(const handover& it, time_point now) const;

    /// When the first searcher that is waited for is ready, if no former owner speaks before.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    struct wait {
        handover from;
        time_point until;
        bool drained = false;
    };

    void start_ready(time_point now, ownership_step& step);
    void note_handovers(const cell_record& record, time_point now);

    std::string self_;
    std::uint64_t incarnation_;
    std::set<std::string> serving_;
    std::multimap<std::string, wait> waits_; ///< by searcher that this node owns but does not yet serve
    std::vector<wait> known_;                ///< handovers of the record, whoever takes part
    std::set<std::string> draining_;
    std::set<std::string> to_release_;
};

} // namespace skylarkseam
