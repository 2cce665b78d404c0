#include <skylarkseam/core/group_state.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Number of replicas per shard that should hold a snapshot before it is selected, so that the loss of one
/// replica does not make the snapshot unavailable.
constexpr std::uint32_t wanted_holders = 2;

constexpr duration first_status_wait = milliseconds(50);
constexpr duration refresh_interval = seconds(5);
constexpr duration refresh_interval_after_new_snapshot = milliseconds(250);

/// Lifetime of a cached snapshot choice. It is short because avoided replicas don't count in the choice, and
/// they change over time.
constexpr duration choice_validity = milliseconds(100);

/// Time for which a searcher is avoided after its owner reported that it takes no work.
constexpr duration no_work_pause = seconds(1);

struct shard_tally {
    std::uint32_t with_wanted_holders = 0; ///< Number of shards with the wanted number of holders.
    std::uint32_t with_a_holder = 0;       ///< Number of shards with at least one holder.
};

} // namespace

group_state::group_state(std::string name, std::shared_ptr<const shard_map> map,
                         std::shared_ptr<group_load> load)
    : name_(std::move(name))
    , map_(std::move(map))
    , load_(std::move(load))
    , replicas_(map_->searchers.size()) {
    for (std::size_t n = 0; n < replicas_.size(); ++n) {
        replicas_[n].held.resize(map_->searchers[n].shards.size());
    }
}

void group_state::inherit(const group_state& old) {
    for (std::size_t n = 0; n < replicas_.size(); ++n) {
        const auto& current = map_->searchers[n];
        const auto& old_searchers = old.map_->searchers;
        const auto at = std::lower_bound(old_searchers.begin(), old_searchers.end(), current.name,
                                         [](const auto& it, const auto& name) { return it.name < name; });
        if (at == old_searchers.end() || at->name != current.name) {
            continue;
        }
        const auto& from = old.replicas_[static_cast<std::size_t>(at - old_searchers.begin())];
        replicas_[n].avoid_until = from.avoid_until;
        replicas_[n].stats = from.stats;
        if (at->shards == current.shards) {
            replicas_[n].status_known = from.status_known;
            replicas_[n].held = from.held;
        }
    }
}

void group_state::update_in_service(const configuration& config) {
    const auto group = config.groups.find(name_);
    for (std::size_t n = 0; n < replicas_.size(); ++n) {
        replicas_[n].in_service = false;
        if (group == config.groups.end()) {
            continue;
        }
        for (const auto& it : group->second.searchers) {
            if (it.name == map_->searchers[n].name) {
                replicas_[n].in_service = takes_new_work(config, it);
            }
        }
    }
    choice_.reset();
}

void group_state::set_owners(const ownership& owners, owner_table& table) {
    for (std::size_t n = 0; n < replicas_.size(); ++n) {
        const auto at = owners.owner_of.find(map_->searchers[n].name);
        replicas_[n].owner = at == owners.owner_of.end() ? owner_table::none : table.add(at->second);
    }
    choice_.reset();
}

void group_state::apply_status(const searcher_status& status, time_point now) {
    const auto& all = map_->searchers;
    const auto at = std::lower_bound(all.begin(), all.end(), status.searcher,
                                     [](const auto& it, const auto& name) { return it.name < name; });
    if (at == all.end() || at->name != status.searcher) {
        return;
    }
    auto& it = replicas_[static_cast<std::size_t>(at - all.begin())];
    it.avoid_until = status.takes_work ? time_point{} : now + no_work_pause;
    it.status_known = !status.shards.empty();
    for (auto& held : it.held) {
        held.clear();
    }
    for (const auto& held : status.shards) {
        const auto position = std::lower_bound(at->shards.begin(), at->shards.end(), held.shard);
        if (position != at->shards.end() && *position == held.shard) {
            it.held[static_cast<std::size_t>(position - at->shards.begin())] = held.snapshots;
        }
    }
    choice_.reset();
}

void group_state::update_held(shard_copy copy, const std::vector<snapshot_id>& held) {
    auto& it = replicas_[copy.searcher];
    auto& recorded = it.held[copy.position];
    if (held.empty() || recorded == held) {
        return;
    }
    recorded = held;
    it.status_known = true;
    newest_reported_ = std::max(newest_reported_, held.back());
    choice_.reset();
}

void group_state::remove_held(shard_copy copy, snapshot_id snapshot) {
    auto& recorded = replicas_[copy.searcher].held[copy.position];
    if (snapshot == 0) {
        recorded.clear();
    } else {
        std::erase(recorded, snapshot);
    }
    choice_.reset();
}

void group_state::avoid(std::uint32_t n, time_point until) {
    replicas_[n].avoid_until = std::max(replicas_[n].avoid_until, until);
}

bool group_state::eligible(std::uint32_t n) const {
    return replicas_[n].in_service && replicas_[n].owner != owner_table::none;
}

bool group_state::preferred(std::uint32_t n, time_point now) const {
    return eligible(n) && now >= replicas_[n].avoid_until;
}

bool group_state::holds(shard_copy copy, snapshot_id snapshot) const {
    const auto& recorded = replicas_[copy.searcher].held[copy.position];
    return std::binary_search(recorded.begin(), recorded.end(), snapshot);
}

snapshot_choice group_state::choose_snapshot(time_point now) const {
    if (choice_ && now < choice_valid_until_) {
        return *choice_;
    }
    choice_ = compute_choice(now);
    choice_valid_until_ = now + choice_validity;
    return *choice_;
}

snapshot_choice group_state::compute_choice(time_point now) const {
    std::map<snapshot_id, shard_tally> tallies;
    std::map<snapshot_id, std::uint32_t> holders;
    for (const auto& shard : map_->shards) {
        holders.clear();
        // If all replicas of a shard are avoided, they count anyway, since one of them may still answer.
        const bool any_usable = std::any_of(shard.copies.begin(), shard.copies.end(),
                                            [&](auto copy) { return preferred(copy.searcher, now); });
        std::uint32_t replicas = 0;
        for (const auto copy : shard.copies) {
            if (any_usable ? !preferred(copy.searcher, now) : !eligible(copy.searcher)) {
                continue;
            }
            ++replicas;
            for (const auto snapshot : replicas_[copy.searcher].held[copy.position]) {
                ++holders[snapshot];
            }
        }
        for (const auto& [snapshot, n] : holders) {
            ++tallies[snapshot].with_a_holder;
            tallies[snapshot].with_wanted_holders += n >= std::min(replicas, wanted_holders) ? 1 : 0;
        }
    }
    const auto all = static_cast<std::uint32_t>(map_->shards.size());
    snapshot_choice best;
    for (auto it = tallies.rbegin(); it != tallies.rend(); ++it) {
        if (it->second.with_wanted_holders == all) {
            return {it->first, all};
        }
        if (it->second.with_a_holder > best.covered) {
            best = {it->first, it->second.with_a_holder};
        }
    }
    return best;
}

std::vector<std::uint32_t> group_state::owners_to_poll(bool without_status_only) const {
    std::vector<std::uint32_t> owners;
    for (const auto& it : replicas_) {
        const bool listed = std::find(owners.begin(), owners.end(), it.owner) != owners.end();
        if (it.in_service && it.owner != owner_table::none && !(without_status_only && it.status_known) &&
            !listed) {
            owners.push_back(it.owner);
        }
    }
    return owners;
}

bool group_state::every_shard_has_status() const {
    return std::all_of(map_->shards.begin(), map_->shards.end(), [&](const auto& shard) {
        return std::any_of(shard.copies.begin(), shard.copies.end(),
                           [&](auto copy) { return replicas_[copy.searcher].status_known; });
    });
}

bool group_state::first_status_wait_elapsed(time_point now) {
    if (!first_status_request_) {
        first_status_request_ = now;
    }
    return now >= *first_status_request_ + first_status_wait;
}

bool group_state::refresh_due(time_point now) {
    const bool newer_reported = newest_reported_ > newest_at_refresh_;
    const auto interval = newer_reported ? refresh_interval_after_new_snapshot : refresh_interval;
    if (last_refresh_ && now < *last_refresh_ + interval) {
        return false;
    }
    last_refresh_ = now;
    newest_at_refresh_ = newest_reported_;
    return true;
}

bool group_state::any_owner() const {
    return std::any_of(replicas_.begin(), replicas_.end(),
                       [](const auto& it) { return it.in_service && it.owner != owner_table::none; });
}

} // namespace skylarkseam
