// The hits that every searcher stand-in gives: a function of query, shard and snapshot alone, so that a test
// can compute what a correct answer holds.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam::standin {

struct expected_hit {
    std::string id;
    double score = 0.0; ///< a multiple of 1e-6 from 0 to 1
    friend bool operator==(const expected_hit&, const expected_hit&) = default;
};

/// The text of a query in the form that is hashed: JSON without spaces, keys in order.
[[nodiscard]] std::string canonical_query(std::string_view query_json);

/// One shard's hits, best first, at most `limit`. Some ids also stand in the neighbouring shard, with the
/// same score.
[[nodiscard]] std::vector<expected_hit> shard_hits(std::string_view canonical, shard_id shard,
                                                   snapshot_id snapshot, std::size_t limit);

/// The merged answer over the shards: by score descending, then by id; each id once; at most `limit`.
[[nodiscard]] std::vector<expected_hit> merged_hits(std::string_view canonical,
                                                    const std::vector<shard_id>& shards, snapshot_id snapshot,
                                                    std::size_t limit);

} // namespace skylarkseam::standin
