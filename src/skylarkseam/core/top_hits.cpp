#include <skylarkseam/core/top_hits.hpp>

#include <algorithm>
#include <cmath>

namespace skylarkseam {

bool well_formed(const std::vector<hit>& hits) {
    return std::all_of(hits.begin(), hits.end(), [](const hit& it) { return std::isfinite(it.score); });
}

void top_hits::merge(std::vector<hit>&& hits) {
    for (auto& it : hits) {
        const bool full = hits_.size() == limit_;
        if (limit_ != 0 && (!full || ranks_before(it, hits_.back()))) {
            insert(std::move(it));
        }
    }
}

void top_hits::insert(hit&& it) {
    const auto same =
        std::find_if(hits_.begin(), hits_.end(), [&](const hit& kept) { return kept.id == it.id; });
    if (same != hits_.end()) {
        if (!ranks_before(it, *same)) {
            return;
        }
        hits_.erase(same);
    } else if (hits_.size() == limit_) {
        hits_.pop_back();
    }
    const auto at = std::lower_bound(hits_.begin(), hits_.end(), it, ranks_before);
    hits_.insert(at, std::move(it));
}

} // namespace skylarkseam
