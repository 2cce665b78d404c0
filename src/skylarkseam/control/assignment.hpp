// Decides which member of a cell owns which searcher: rendezvous hashing over blocks of neighbouring shards,
// within the searcher's availability zone where that zone has members, and with a bound on each member's
// load.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/core/ownership.hpp>

#include <string_view>

namespace skylarkseam {

/// Neighbours in the shard map that stay together: a node then answers several shards of one query.
constexpr shard_id shards_per_block = 4;

/// No member gets more than the average number of searchers times this, rounded up.
constexpr double load_bound_factor = 1.25;

/// The same searchers, members and zones give the same owners on every node, whatever came before. The epoch
/// is only passed on. Without members no searcher has an owner.
/// \param members  any order; each node once
[[nodiscard]] ownership assign(epoch_id epoch, std::vector<member> members, const configuration& config);

/// As above, for the searchers of one cell out of `cells`.
[[nodiscard]] ownership assign(epoch_id epoch, std::vector<member> members, const configuration& config,
                               std::uint32_t cell, std::uint32_t cells);

/// The most searchers that one of `members` members gets out of `searchers`.
[[nodiscard]] std::size_t load_bound(std::size_t searchers, std::size_t members);

/// The cell that owns each searcher: blocks of shards are spread over the cells by rendezvous hashing with a
/// bound on the load, and all replicas of a shard are in one cell. The same on every node with the same
/// configuration.
/// \param cells  1 or more
[[nodiscard]] std::map<std::string, std::uint32_t, std::less<>> cell_of_searchers(const configuration& config,
                                                                                  std::uint32_t cells);

} // namespace skylarkseam
