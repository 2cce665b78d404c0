// The assignment of a group's shards to its searchers in one generation of the configuration. A plan of a
// query uses a single shard map.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <memory>

namespace skylarkseam {

/// Copy of a shard at one searcher.
struct shard_copy {
    std::uint32_t searcher = 0; ///< Index into shard_map::searchers.
    std::uint32_t position = 0; ///< Index of the shard in searcher::shards.
};

struct mapped_shard {
    shard_id shard = 0;
    std::vector<shard_copy> copies;
};

/// Immutable map of a group's shards. Invariant: the shards are unique and in ascending order, and each copy
/// refers to a searcher of the map.
struct shard_map {
    std::vector<searcher> searchers; ///< Searchers sorted by name.
    std::vector<mapped_shard> shards;
};

[[nodiscard]] std::shared_ptr<const shard_map> make_shard_map(const upstream_group& group);

/// Whether both maps assign the same shards to the same searchers.
[[nodiscard]] bool same_layout(const shard_map& a, const shard_map& b);

} // namespace skylarkseam
