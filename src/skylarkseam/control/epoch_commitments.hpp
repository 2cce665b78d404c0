// Commitments of a member: promises not to vote for a new epoch, and votes for one. A member never
// has both. No epoch can therefore change while a member that cannot reach the platform relies on a quorum of
// promises.
#pragma once

#include <skylarkseam/control/cell_record.hpp>
#include <skylarkseam/control/cell_timing.hpp>

namespace skylarkseam {

class epoch_commitments {
public:
    /// Records that this version of the record exists and belongs to `epoch`.
    void observe(epoch_id epoch, record_version version);

    /// Grants a promise for `epoch` until `until`, unless a vote is pending or another epoch is current.
    /// Returns whether it was granted.
    bool grant_promise(epoch_id epoch, time_point until);

    /// Grants a vote for an update of `version`, unless a promise is active at `now` or another epoch or a
    /// later version is current. Returns whether it was granted.
    bool grant_vote(epoch_id epoch, record_version version, time_point now);

    [[nodiscard]] bool has_active_promise(time_point now) const { return now <= promise_until_; }
    [[nodiscard]] epoch_id epoch() const { return epoch_; }

private:
    epoch_id epoch_ = 0;         ///< Highest known epoch.
    record_version version_ = 0; ///< Latest known version.
    /// Version of the pending vote, until a later version is known; 0 for none.
    record_version voted_for_ = 0;
    time_point promise_until_{};
};

} // namespace skylarkseam
