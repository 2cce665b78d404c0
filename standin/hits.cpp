#include "standin/hits.hpp"

#define XXH_INLINE_ALL
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace skylarkseam::standin {
namespace {

constexpr std::uint64_t score_steps = 1'000'000;
constexpr std::uint64_t most_own_hits = 4;

std::uint64_t mix(std::uint64_t seed, std::uint64_t value) {
    return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

double score_of(std::uint64_t hash) {
    return static_cast<double>(hash % score_steps) / static_cast<double>(score_steps);
}

bool better(const expected_hit& a, const expected_hit& b) {
    return a.score != b.score ? a.score > b.score : a.id < b.id;
}

void sort_and_cut(std::vector<expected_hit>& hits, std::size_t limit) {
    std::sort(hits.begin(), hits.end(), better);
    hits.erase(std::unique(hits.begin(), hits.end()), hits.end());
    hits.resize(std::min(hits.size(), limit));
}

} // namespace

std::string canonical_query(std::string_view query_json) {
    return nlohmann::json::parse(query_json).dump();
}

std::vector<expected_hit> shard_hits(std::string_view canonical, shard_id shard, snapshot_id snapshot,
                                     std::size_t limit) {
    const auto seed = XXH3_64bits_withSeed(canonical.data(), canonical.size(), snapshot);
    const auto own = mix(seed, shard);
    std::vector<expected_hit> hits;
    for (std::uint64_t it = 0; it <= own % most_own_hits; ++it) {
        hits.push_back({"s" + std::to_string(shard) + "-" + std::to_string(it), score_of(mix(own, it))});
    }
    const auto pair = shard / 2;
    const auto shared = mix(~seed, pair);
    if (shared % 2 == 0) {
        hits.push_back({"p" + std::to_string(pair), score_of(mix(shared, 0))});
    }
    sort_and_cut(hits, limit);
    return hits;
}

std::vector<expected_hit> merged_hits(std::string_view canonical, const std::vector<shard_id>& shards,
                                      snapshot_id snapshot, std::size_t limit) {
    std::vector<expected_hit> hits;
    for (const auto shard : shards) {
        const auto more = shard_hits(canonical, shard, snapshot, limit);
        hits.insert(hits.end(), more.begin(), more.end());
    }
    sort_and_cut(hits, limit);
    return hits;
}

} // namespace skylarkseam::standin
