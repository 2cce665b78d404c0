// Which searchers hold which shard of a group, as one generation of the configuration states it. A query is
// planned on one shard map and keeps it to its end.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <memory>

namespace skylarkseam {

/// One copy of a shard.
struct shard_copy {
    std::uint32_t searcher = 0; ///< index into shard_map::searchers
    std::uint32_t position = 0; ///< of the shard among those of the searcher
};

struct mapped_shard {
    shard_id shard = 0;
    std::vector<shard_copy> copies;
};

/// Immutable. Invariant: shards are ascending, each once; every copy names a searcher of the map.
struct shard_map {
    std::vector<searcher> searchers; ///< by name, ascending
    std::vector<mapped_shard> shards;
};

[[nodiscard]] std::shared_ptr<const shard_map> make_shard_map(const upstream_group& group);

/// Whether both maps have the same searchers with the same shards.
[[nodiscard]] bool same_layout(const shard_map& a, const shard_map& b);

} // namespace skylarkseam
