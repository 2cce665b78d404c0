// What a member has bound itself to: promises to follow no new epoch, and votes for one. The two exclude each
// other, so that no epoch changes while a member that is cut off counts on promises.
#pragma once

#include <skylarkseam/control/cell_record.hpp>
#include <skylarkseam/control/cell_timing.hpp>

namespace skylarkseam {

class promise_book {
public:
    /// A version of the record, of this epoch, is known to exist.
    void learn(epoch_id epoch, record_version version);

    /// Promises for `epoch` until `until`, unless a vote or a newer epoch stands against it.
    bool promise(epoch_id epoch, time_point until);

    /// Votes for an update of `version`, unless a promise is open at `now` or a later version is known.
    bool vote(epoch_id epoch, record_version version, time_point now);

    [[nodiscard]] bool promise_open(time_point now) const { return now <= promised_until_; }
    [[nodiscard]] epoch_id epoch() const { return epoch_; }

private:
    epoch_id epoch_ = 0;           ///< the highest that is known
    record_version version_ = 0;   ///< the latest that is known
    record_version voted_for_ = 0; ///< 0: none; binds until a later version is known
    time_point promised_until_{};
};

} // namespace skylarkseam
