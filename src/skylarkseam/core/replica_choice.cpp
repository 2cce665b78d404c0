#include <skylarkseam/core/replica_choice.hpp>

#include <algorithm>

namespace skylarkseam {

std::optional<shard_copy> replica_choice::pick(const group_state& group, const owner_table& owners,
                                               const mapped_shard& shard, snapshot_id snapshot,
                                               std::span<const std::uint32_t> tried, std::uint64_t caller,
                                               time_point now) {
    preferred_.clear();
    fallback_.clear();
    for (const auto copy : shard.copies) {
        const bool again = std::find(tried.begin(), tried.end(), copy.searcher) != tried.end();
        if (again || !group.eligible(copy.searcher) || !group.holds(copy, snapshot)) {
            continue;
        }
        const bool avoided = !group.preferred(copy.searcher, now) ||
                             owners.is_unreachable(group.replica(copy.searcher).owner, now);
        (avoided ? fallback_ : preferred_).push_back(copy);
    }
    auto& from = preferred_.empty() ? fallback_ : preferred_;
    if (from.empty()) {
        return std::nullopt;
    }
    if (from.size() == 1) {
        return from.front();
    }
    const auto count = static_cast<std::uint32_t>(from.size());
    const auto first = random_(count);
    const auto second = (first + 1 + random_(count - 1)) % count;
    const auto median_latency = group.load().median_latency();
    const auto expected = [&](std::uint32_t n) {
        return group.replica(from[n].searcher).stats.expected_us(median_latency, now, caller);
    };
    return expected(first) <= expected(second) ? from[first] : from[second];
}

} // namespace skylarkseam
