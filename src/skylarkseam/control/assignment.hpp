// Assigns each searcher of a cell to a member by rendezvous hashing of blocks of neighbouring shards. An
// owner is in the searcher's availability zone where members there have room, and each member's load is
// bounded.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/core/ownership.hpp>

#include <string_view>

namespace skylarkseam {

/// Number of neighbouring shards with one owner, which then answers several shards of one query.
constexpr shard_id shards_per_block = 4;

/// Factor of the load bound: a member gets at most the average number of searchers times this, rounded up.
constexpr double load_bound_factor = 1.25;

/// Assigns all searchers of the configuration to the members. The result depends only on the searchers,
/// members and zones, and is the same on every node. The epoch is only copied into the result. Without
/// members no searcher has an owner. \param members  members in any order, each node once
[[nodiscard]] ownership assign(epoch_id epoch, std::vector<member> members, const configuration& config);

/// Assigns the searchers of one cell out of `cells` to its members.
[[nodiscard]] ownership assign(epoch_id epoch, std::vector<member> members, const configuration& config,
                               std::uint32_t cell, std::uint32_t cells);

/// Returns the largest number of searchers that one of `members` members can get out of `searchers`.
[[nodiscard]] std::size_t load_bound(std::size_t searchers, std::size_t members);

/// Returns the cell of each searcher. Blocks of shards are spread over the cells by rendezvous hashing with a
/// load bound, and all replicas of a shard are in one cell. Nodes with the same configuration get the same
/// result. \param cells  number of cells, at least 1
[[nodiscard]] std::map<std::string, std::uint32_t, std::less<>> cell_of_searchers(const configuration& config,
                                                                                  std::uint32_t cells);

} // namespace skylarkseam
