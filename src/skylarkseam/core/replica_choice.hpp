// Replica selection for an attempt by "power of two choices": of two random replicas of the shard, the one
// with the lower expected latency.
#pragma once

#include <skylarkseam/core/group_state.hpp>

#include <pcg_random.hpp>

#include <span>

namespace skylarkseam {

class replica_choice {
public:
    explicit replica_choice(std::uint64_t seed)
        : random_(seed) {}

    /// \param tried   searchers that are excluded because the query has tried them
    /// \param caller  hash of the caller's name
    /// \return a copy whose searcher holds the snapshot and may receive work, or nothing
    std::optional<shard_copy> pick(const group_state& group, const owner_table& owners,
                                   const mapped_shard& shard, snapshot_id snapshot,
                                   std::span<const std::uint32_t> tried, std::uint64_t caller,
                                   time_point now);

private:
    pcg32 random_;
    std::vector<shard_copy> preferred_; ///< Candidates without known problems; reused between calls.
    std::vector<shard_copy> fallback_;  ///< Avoided candidates; used only if there are no others.
};

} // namespace skylarkseam
