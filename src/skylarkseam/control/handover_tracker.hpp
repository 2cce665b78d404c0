// Tracks which of its searchers a member may serve: those that no former owner can still be serving. Also
// tracks the searchers that this member stopped serving, until they are drained and their next owners know
// it.
#pragma once

#include <skylarkseam/control/cell_record.hpp>

#include <map>
#include <set>

namespace skylarkseam {

/// Searchers that this node starts or stops serving.
struct serving_change {
    std::vector<std::string> started;
    std::vector<std::string> handed_over; ///< Searchers of `started` that their former owner has drained.
    std::vector<std::string> stopped;

    [[nodiscard]] bool empty() const { return started.empty() && stopped.empty(); }
};

class handover_tracker {
public:
    /// \param self         node name of this node
    /// \param incarnation  incarnation of this node
    handover_tracker(std::string self, std::uint64_t incarnation)
        : self_(std::move(self))
        , incarnation_(incarnation) {}

    /// Applies a new epoch that this node received at `now`.
    void adopt(const cell_record& record, time_point now, serving_change& change);

    /// Records that the former owner has drained these searchers. Returns false if this node does not yet
    /// know that it owns one of them; the former owner then repeats its message.
    bool on_release(const std::string& former, std::uint64_t incarnation, epoch_id epoch,
                    const std::vector<std::string>& searchers, time_point now, serving_change& change);

    /// Starts the searchers whose handover wait has ended.
    void advance(time_point now, serving_change& change);

    /// Records that this node has no work left at a searcher that it stopped serving.
    void mark_drained(const std::string& searcher);

    /// Records that the next owner has acknowledged the release of this searcher.
    void release_received(const std::string& searcher);

    /// Returns the drained searchers whose next owner has not acknowledged the release.
    [[nodiscard]] const std::set<std::string>& unacknowledged_releases() const {
        return unacknowledged_releases_;
    }
    [[nodiscard]] const std::set<std::string>& draining() const { return draining_; }
    [[nodiscard]] const std::set<std::string>& serving() const { return serving_; }
    /// Returns the number of searchers that this node owns but does not yet serve.
    [[nodiscard]] std::size_t waiting() const;

    /// Returns whether the handover's wait may still be running, as far as this node knows.
    [[nodiscard]] bool may_be_pending(const handover& it, time_point now) const;

    /// Returns when the first pending searcher can start if no former owner releases it earlier.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    struct pending_handover {
        handover from;
        time_point until;
        bool drained = false;
    };

    void start_ready(time_point now, serving_change& change);
    void update_known_handovers(const cell_record& record, time_point now);

    std::string self_;
    std::uint64_t incarnation_;
    std::set<std::string> serving_;
    /// Handovers by searcher that this node owns but does not yet serve.
    std::multimap<std::string, pending_handover> pending_;
    /// All handovers of the record, those between other nodes included.
    std::vector<pending_handover> known_handovers_;
    std::set<std::string> draining_;
    std::set<std::string> unacknowledged_releases_;
};

} // namespace skylarkseam
