#include <skylarkseam/core/group_state.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Replicas of a shard that should hold a snapshot before it is asked for, so that one loss does not undo it.
constexpr std::uint32_t enough_replicas = 2;

constexpr duration first_status_wait = milliseconds(50);
constexpr duration refresh_interval = seconds(5);
constexpr duration refresh_interval_after_news = milliseconds(250);

/// A choice is made anew after this time, since replicas that are avoided do not count in it.
constexpr duration choice_validity = milliseconds(100);

/// How long the word of an owner that a searcher takes no work is believed.
constexpr duration stated_out_pause = seconds(1);

struct shard_tally {
    std::uint32_t enough = 0; ///< shards with enough replicas that hold the snapshot
    std::uint32_t any = 0;    ///< shards with one
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
        const auto& mine = map_->searchers[n];
        const auto& theirs = old.map_->searchers;
        const auto at = std::lower_bound(theirs.begin(), theirs.end(), mine.name,
                                         [](const auto& it, const auto& name) { return it.name < name; });
        if (at == theirs.end() || at->name != mine.name) {
            continue;
        }
        const auto& from = old.replicas_[static_cast<std::size_t>(at - theirs.begin())];
        replicas_[n].avoid_until = from.avoid_until;
        replicas_[n].stats = from.stats;
        if (at->shards == mine.shards) {
            replicas_[n].known = from.known;
            replicas_[n].held = from.held;
        }
    }
}

void group_state::set_taken_in(const configuration& config) {
    const auto group = config.groups.find(name_);
    for (std::size_t n = 0; n < replicas_.size(); ++n) {
        replicas_[n].in = false;
        if (group == config.groups.end()) {
            continue;
        }
        for (const auto& it : group->second.searchers) {
            if (it.name == map_->searchers[n].name) {
                replicas_[n].in = takes_new_work(config, it);
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

void group_state::learn_status(const searcher_status& status, time_point now) {
    const auto& all = map_->searchers;
    const auto at = std::lower_bound(all.begin(), all.end(), status.searcher,
                                     [](const auto& it, const auto& name) { return it.name < name; });
    if (at == all.end() || at->name != status.searcher) {
        return;
    }
    auto& it = replicas_[static_cast<std::size_t>(at - all.begin())];
    it.avoid_until = status.takes_work ? time_point{} : now + stated_out_pause;
    it.known = !status.shards.empty();
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

void group_state::learn_held(shard_copy copy, const std::vector<snapshot_id>& held) {
    auto& it = replicas_[copy.searcher];
    auto& known = it.held[copy.position];
    if (held.empty() || known == held) {
        return;
    }
    known = held;
    it.known = true;
    newest_heard_ = std::max(newest_heard_, held.back());
    choice_.reset();
}

void group_state::forget_held(shard_copy copy, snapshot_id snapshot) {
    auto& known = replicas_[copy.searcher].held[copy.position];
    if (snapshot == 0) {
        known.clear();
    } else {
        std::erase(known, snapshot);
    }
    choice_.reset();
}

void group_state::avoid(std::uint32_t n, time_point until) {
    replicas_[n].avoid_until = std::max(replicas_[n].avoid_until, until);
}

bool group_state::present(std::uint32_t n) const {
    return replicas_[n].in && replicas_[n].owner != owner_table::none;
}

bool group_state::usable(std::uint32_t n, time_point now) const {
    return present(n) && now >= replicas_[n].avoid_until;
}

bool group_state::holds(shard_copy copy, snapshot_id snapshot) const {
    const auto& known = replicas_[copy.searcher].held[copy.position];
    return std::binary_search(known.begin(), known.end(), snapshot);
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
        // Where every replica is avoided, they count all the same: one of them may answer.
        const bool any_usable = std::any_of(shard.copies.begin(), shard.copies.end(),
                                            [&](auto copy) { return usable(copy.searcher, now); });
        std::uint32_t replicas = 0;
        for (const auto copy : shard.copies) {
            if (any_usable ? !usable(copy.searcher, now) : !present(copy.searcher)) {
                continue;
            }
            ++replicas;
            for (const auto snapshot : replicas_[copy.searcher].held[copy.position]) {
                ++holders[snapshot];
            }
        }
        for (const auto& [snapshot, n] : holders) {
            ++tallies[snapshot].any;
            tallies[snapshot].enough += n >= std::min(replicas, enough_replicas) ? 1 : 0;
        }
    }
    const auto all = static_cast<std::uint32_t>(map_->shards.size());
    snapshot_choice best;
    for (auto it = tallies.rbegin(); it != tallies.rend(); ++it) {
        if (it->second.enough == all) {
            return {it->first, all};
        }
        if (it->second.any > best.covered) {
            best = {it->first, it->second.any};
        }
    }
    return best;
}

std::vector<std::uint32_t> group_state::owners_to_ask(bool only_unknown) const {
    std::vector<std::uint32_t> owners;
    for (const auto& it : replicas_) {
        const bool asked = std::find(owners.begin(), owners.end(), it.owner) != owners.end();
        if (it.in && it.owner != owner_table::none && !(only_unknown && it.known) && !asked) {
            owners.push_back(it.owner);
        }
    }
    return owners;
}

bool group_state::every_shard_known() const {
    return std::all_of(map_->shards.begin(), map_->shards.end(), [&](const auto& shard) {
        return std::any_of(shard.copies.begin(), shard.copies.end(),
                           [&](auto copy) { return replicas_[copy.searcher].known; });
    });
}

bool group_state::asked_long_ago(time_point now) {
    if (!first_asked_) {
        first_asked_ = now;
    }
    return now >= *first_asked_ + first_status_wait;
}

bool group_state::refresh_due(time_point now) {
    const bool news = newest_heard_ > newest_at_refresh_;
    const auto interval = news ? refresh_interval_after_news : refresh_interval;
    if (last_refresh_ && now < *last_refresh_ + interval) {
        return false;
    }
    last_refresh_ = now;
    newest_at_refresh_ = newest_heard_;
    return true;
}

bool group_state::any_owner() const {
    return std::any_of(replicas_.begin(), replicas_.end(),
                       [](const auto& it) { return it.in && it.owner != owner_table::none; });
}

} // namespace skylarkseam
