// Which replica of a shard to send an attempt to: of two drawn at random, the one that is expected to answer
// sooner.
#pragma once

#include <skylarkseam/core/group_state.hpp>

#include <pcg_random.hpp>

#include <span>

namespace skylarkseam {

class replica_choice {
public:
    explicit replica_choice(std::uint64_t seed)
        : random_(seed) {}

    /// \param tried   searchers that are not to be picked again
    /// \param caller  hash of the caller's name
    /// \return a copy whose searcher holds the snapshot and may get work, or nothing
    std::optional<shard_copy> pick(const group_state& group, const owner_table& owners,
                                   const mapped_shard& shard, snapshot_id snapshot,
                                   std::span<const std::uint32_t> tried, std::uint64_t caller,
                                   time_point now);

private:
    pcg32 random_;
    std::vector<shard_copy> likely_;   ///< reused between calls
    std::vector<shard_copy> unlikely_; ///< avoided ones, picked only where there is no other
};

} // namespace skylarkseam
