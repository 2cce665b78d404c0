#include <skylarkseam/control/epoch_commitments.hpp>

#include <algorithm>

namespace skylarkseam {

void epoch_commitments::observe(epoch_id epoch, record_version version) {
    epoch_ = std::max(epoch_, epoch);
    version_ = std::max(version_, version);
    if (version_ > voted_for_) {
        voted_for_ = 0;
    }
}

bool epoch_commitments::grant_promise(epoch_id epoch, time_point until) {
    if (epoch != epoch_ || voted_for_ != 0) {
        return false;
    }
    promise_until_ = std::max(promise_until_, until);
    return true;
}

bool epoch_commitments::grant_vote(epoch_id epoch, record_version version, time_point now) {
    if (epoch != epoch_ || version < version_ || has_active_promise(now)) {
        return false;
    }
    version_ = version;
    voted_for_ = version;
    return true;
}

} // namespace skylarkseam
