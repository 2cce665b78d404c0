#include <skylarkseam/control/promise_book.hpp>

#include <algorithm>

namespace skylarkseam {

void promise_book::learn(epoch_id epoch, record_version version) {
    epoch_ = std::max(epoch_, epoch);
    version_ = std::max(version_, version);
    if (version_ > voted_for_) {
        voted_for_ = 0;
    }
}

bool promise_book::promise(epoch_id epoch, time_point until) {
    if (epoch != epoch_ || voted_for_ != 0) {
        return false;
    }
    promised_until_ = std::max(promised_until_, until);
    return true;
}

bool promise_book::vote(epoch_id epoch, record_version version, time_point now) {
    if (epoch != epoch_ || version < version_ || promise_open(now)) {
        return false;
    }
    version_ = version;
    voted_for_ = version;
    return true;
}

} // namespace skylarkseam
