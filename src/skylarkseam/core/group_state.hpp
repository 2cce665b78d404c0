// State that a coordinator keeps about one upstream group: its shard map and, for each searcher, the
// snapshots it holds, its owner, and its latency and failure statistics.
#pragma once

#include <skylarkseam/core/extra_load_budget.hpp>
#include <skylarkseam/core/hedge_delay.hpp>
#include <skylarkseam/core/owner_table.hpp>
#include <skylarkseam/core/replica_stats.hpp>
#include <skylarkseam/core/shard_map.hpp>
#include <skylarkseam/core/subquery.hpp>

#include <optional>

namespace skylarkseam {

/// State that a coordinator keeps about one searcher.
struct replica_state {
    bool in_service = false;  ///< Whether the searcher and its zone are in service.
    time_point avoid_until{}; ///< End of the time for which the searcher is avoided: it shed load, failed or
                              ///< takes no work.
    std::uint32_t owner = owner_table::none;
    bool status_known = false; ///< Whether any held snapshots were reported.
    /// Held snapshots in ascending order, indexed by the position of the shard in searcher::shards.
    std::vector<std::vector<snapshot_id>> held;
    replica_stats stats;
};

/// Snapshot selected for a query, and the number of shards with a replica that holds it.
struct snapshot_choice {
    snapshot_id snapshot = 0; ///< Selected snapshot; 0 if none is known.
    std::uint32_t covered = 0;
};

/// Latency statistics and extra-load budget of a group; shared by the states of its successive shard maps.
struct group_load {
    hedge_delay latency;
    extra_load_budget budget;

    [[nodiscard]] duration median_latency() const { return latency.median_latency(); }
};

/// Invariant: replicas_ has one entry per searcher of the shard map, in the same order; the map is immutable.
class group_state {
public:
    group_state(std::string name, std::shared_ptr<const shard_map> map, std::shared_ptr<group_load> load);

    /// Copies the state of the searchers that are in both maps.
    void inherit(const group_state& old);

    /// Updates which searchers are in service; this changes without a new shard map.
    void update_in_service(const configuration& config);
    void set_owners(const ownership& owners, owner_table& table);

    void apply_status(const searcher_status& status, time_point now);
    void update_held(shard_copy copy, const std::vector<snapshot_id>& held);
    void remove_held(shard_copy copy, snapshot_id snapshot); ///< Snapshot 0 removes all snapshots.
    void avoid(std::uint32_t n, time_point until);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const shard_map& map() const { return *map_; }
    [[nodiscard]] group_load& load() const { return *load_; }
    [[nodiscard]] const std::shared_ptr<group_load>& shared_load() const { return load_; }
    [[nodiscard]] replica_state& replica(std::uint32_t n) { return replicas_[n]; }
    [[nodiscard]] const replica_state& replica(std::uint32_t n) const { return replicas_[n]; }

    /// Whether a replica may receive new work: it is in service and has an owner.
    [[nodiscard]] bool eligible(std::uint32_t n) const;
    /// Whether a replica is eligible and not avoided.
    [[nodiscard]] bool preferred(std::uint32_t n, time_point now) const;
    [[nodiscard]] bool holds(shard_copy copy, snapshot_id snapshot) const;

    /// Returns the newest snapshot that the wanted number of replicas of every shard hold. Without such a
    /// snapshot, returns the newest one held by at least one replica of every shard, else the newest of those
    /// that cover the most shards.
    [[nodiscard]] snapshot_choice choose_snapshot(time_point now) const;

    /// Returns the owners of the eligible replicas, or only of those without a status if
    /// `without_status_only`.
    [[nodiscard]] std::vector<std::uint32_t> owners_to_poll(bool without_status_only) const;
    [[nodiscard]] bool every_shard_has_status() const;
    [[nodiscard]] bool any_owner() const;

    /// Whether the owners had time to answer the first status requests. The first call starts the wait.
    [[nodiscard]] bool first_status_wait_elapsed(time_point now);

    /// Whether a new status request to all owners is due. The interval is long, but short after a newer
    /// snapshot was reported.
    [[nodiscard]] bool refresh_due(time_point now);

private:
    [[nodiscard]] snapshot_choice compute_choice(time_point now) const;

    std::string name_;
    std::shared_ptr<const shard_map> map_;
    std::shared_ptr<group_load> load_;
    std::vector<replica_state> replicas_;
    std::optional<time_point> first_status_request_;
    std::optional<time_point> last_refresh_;
    snapshot_id newest_reported_ = 0;
    snapshot_id newest_at_refresh_ = 0;
    mutable std::optional<snapshot_choice> choice_; ///< Cached choice; reset when its inputs change.
    mutable time_point choice_valid_until_{};
};

} // namespace skylarkseam
