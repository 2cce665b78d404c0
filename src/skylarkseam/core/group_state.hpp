// What a coordinator knows of one upstream group: the shard map in force, and for each searcher what it
// holds, who owns it and how it has answered.
#pragma once

#include <skylarkseam/core/extra_load_budget.hpp>
#include <skylarkseam/core/hedge_delay.hpp>
#include <skylarkseam/core/owner_table.hpp>
#include <skylarkseam/core/replica_stats.hpp>
#include <skylarkseam/core/shard_map.hpp>
#include <skylarkseam/core/subquery.hpp>

#include <optional>

namespace skylarkseam {

/// A searcher as its coordinator knows it.
struct replica_state {
    bool in = false;          ///< neither it nor its zone is taken out
    time_point avoid_until{}; ///< refused, failing or out of work by its owner's word
    std::uint32_t owner = owner_table::none;
    bool known = false; ///< whether `held` was ever learned
    std::vector<std::vector<snapshot_id>>
        held; ///< by position of the shard in the searcher's list; ascending
    replica_stats stats;
};

/// A snapshot to ask for, and how many shards have a replica that holds it.
struct snapshot_choice {
    snapshot_id snapshot = 0; ///< 0: none is known
    std::uint32_t covered = 0;
};

/// Shared by all shard maps that a group has had.
struct group_load {
    hedge_delay latency;
    extra_load_budget budget;

    [[nodiscard]] duration usual() const { return latency.median_latency(); }
};

/// Invariant: replicas are by searcher of the map; the map never changes.
class group_state {
public:
    group_state(std::string name, std::shared_ptr<const shard_map> map, std::shared_ptr<group_load> load);

    /// Takes over what is known of the searchers that both maps have.
    void inherit(const group_state& old);

    /// Takes the parts of the configuration that change without a new map.
    void set_taken_in(const configuration& config);
    void set_owners(const ownership& owners, owner_table& table);

    void learn_status(const searcher_status& status, time_point now);
    void learn_held(shard_copy copy, const std::vector<snapshot_id>& held);
    void forget_held(shard_copy copy, snapshot_id snapshot); ///< 0: all
    void avoid(std::uint32_t n, time_point until);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const shard_map& map() const { return *map_; }
    [[nodiscard]] group_load& load() const { return *load_; }
    [[nodiscard]] const std::shared_ptr<group_load>& shared_load() const { return load_; }
    [[nodiscard]] replica_state& replica(std::uint32_t n) { return replicas_[n]; }
    [[nodiscard]] const replica_state& replica(std::uint32_t n) const { return replicas_[n]; }

    /// Whether new work may be sent to a replica at all, and whether it is likely to be served.
    [[nodiscard]] bool present(std::uint32_t n) const;
    [[nodiscard]] bool usable(std::uint32_t n, time_point now) const;
    [[nodiscard]] bool holds(shard_copy copy, snapshot_id snapshot) const;

    /// The newest snapshot that enough replicas of every shard hold; failing that, the newest that one
    /// replica of every shard holds; failing that, the newest of those that cover the most shards.
    [[nodiscard]] snapshot_choice choose_snapshot(time_point now) const;

    /// Owners of replicas of shards of which nothing is known yet.
    [[nodiscard]] std::vector<std::uint32_t> owners_to_ask(bool only_unknown) const;
    [[nodiscard]] bool every_shard_known() const;
    [[nodiscard]] bool any_owner() const;

    /// Whether the owners had time to say what they know; starts that time on the first call.
    [[nodiscard]] bool asked_long_ago(time_point now);

    /// Whether it is time to ask all owners again: at a slow pace, and soon after a newer snapshot was heard
    /// of.
    [[nodiscard]] bool refresh_due(time_point now);

private:
    [[nodiscard]] snapshot_choice compute_choice(time_point now) const;

    std::string name_;
    std::shared_ptr<const shard_map> map_;
    std::shared_ptr<group_load> load_;
    std::vector<replica_state> replicas_;
    std::optional<time_point> first_asked_;
    std::optional<time_point> last_refresh_;
    snapshot_id newest_heard_ = 0;
    snapshot_id newest_at_refresh_ = 0;
    mutable std::optional<snapshot_choice> choice_; ///< until something that it depends on changes
    mutable time_point choice_valid_until_{};
};

} // namespace skylarkseam
