#include <skylarkseam/gateway/store_replica.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::size_t max_tombstones = 512; ///< Tombstones kept so that readers receive removals as deltas

} // namespace

bool store_replica::begin_incarnation(std::uint64_t incarnation) {
    if (incarnation <= incarnation_) {
        return false;
    }
    incarnation_ = incarnation;
    std::erase_if(registrations_, [](const auto& it) { return !it.second.value.record; });
    std::erase_if(evacuations_, [](const auto& it) { return !it.second.value.active; });
    tombstones_ = 0;
    for (auto& [id, it] : registrations_) {
        it.value.revision = 0;
    }
    for (auto& [zone, it] : evacuations_) {
        it.value.revision = 0;
    }
    revisions_ = {};
    newest_searcher_ = 0;
    settled_ = false;
    settles_at_.reset();
    return true;
}

replica_changes store_replica::settle(time_point now) {
    replica_changes changes;
    const auto searchers = revisions_[static_cast<std::size_t>(store_kind::searchers)];
    const auto evacuations = revisions_[static_cast<std::size_t>(store_kind::evacuations)];
    if (settled_ || searchers == 0 || evacuations == 0) {
        return changes;
    }
    if (!settles_at_) {
        settles_at_ = now + return_time_;
    }
    if (now < *settles_at_) {
        return changes;
    }
    settled_ = true;
    settles_at_.reset();
    for (const auto& [id, it] : registrations_) {
        if (it.carried_over()) {
            changes.registrations.push_back({id, searchers, std::nullopt, false});
        }
    }
    for (const auto& [zone, it] : evacuations_) {
        if (it.carried_over()) {
            changes.evacuations.push_back({zone, evacuations, false});
        }
    }
    for (const auto& it : changes.registrations) {
        apply(it);
    }
    for (const auto& it : changes.evacuations) {
        apply(it);
    }
    return changes;
}

bool store_replica::apply(const registration& it) {
    const auto found = registrations_.find(it.id);
    const bool known = found != registrations_.end();
    if (known && (found->second.value.revision >= it.revision)) {
        return false;
    }
    const bool carried_over = it.revision == 0 && !settled_ && incarnation_ > 0;
    if (!known && (!it.record || (covers_revision(store_kind::searchers, it.revision) && !carried_over))) {
        return false;
    }
    const bool was_tombstone = known && !found->second.value.record;
    tombstones_ += !it.record ? 1 : 0;
    tombstones_ -= was_tombstone ? 1 : 0;
    registrations_[it.id] = {it, ++sequence_};
    newest_searcher_ = std::max(newest_searcher_, it.revision);
    drop_oldest_tombstone();
    return true;
}

bool store_replica::apply(const evacuation& it) {
    const auto found = evacuations_.find(it.zone);
    if (found != evacuations_.end() && found->second.value.revision >= it.revision) {
        return false;
    }
    const bool carried_over = it.revision == 0 && !settled_ && incarnation_ > 0;
    const bool covered = covers_revision(store_kind::evacuations, it.revision) && !carried_over;
    if (found == evacuations_.end() && (!it.active || covered)) {
        return false;
    }
    evacuations_[it.zone] = {it, ++sequence_};
    return true;
}

bool store_replica::covers_revision(store_kind kind, std::uint64_t revision) const {
    return revision <= revisions_[static_cast<std::size_t>(kind)];
}

bool store_replica::apply(const routing_source& it) {
    if (it.version <= routing_.version) {
        return false;
    }
    routing_ = it;
    ++sequence_;
    return true;
}

replica_changes store_replica::apply(const replica_update& update) {
    replica_changes changes;
    if (update.incarnation < incarnation_) {
        return changes;
    }
    begin_incarnation(update.incarnation);
    std::set<std::string> named;
    for (const auto& it : update.registrations) {
        named.insert(it.id);
        if (apply(it)) {
            changes.registrations.push_back(it);
        }
    }
    const auto revision = update.revisions[static_cast<std::size_t>(store_kind::searchers)];
    if (update.full && revision > 0) {
        const auto gone = retain_searchers(named, revision, false);
        changes.registrations.insert(changes.registrations.end(), gone.begin(), gone.end());
    }
    for (const auto& it : update.evacuations) {
        if (apply(it)) {
            changes.evacuations.push_back(it);
        }
    }
    for (const auto kind : store_kinds) {
        advance(kind, update.revisions[static_cast<std::size_t>(kind)]);
    }
    return changes;
}

std::vector<registration> store_replica::retain_searchers(const std::set<std::string>& listed,
                                                          std::uint64_t revision, bool store_was_away) {
    std::vector<registration> gone;
    for (const auto& [id, it] : registrations_) {
        const bool older = !it.carried_over() && it.value.revision < revision;
        if (it.value.record && older && !listed.contains(id)) {
            gone.push_back({id, revision, std::nullopt, store_was_away});
        }
    }
    std::erase_if(gone, [this](const auto& it) { return !apply(it); });
    advance(store_kind::searchers, revision);
    return gone;
}

std::vector<evacuation> store_replica::retain_evacuations(const std::set<std::string>& listed,
                                                          std::uint64_t revision) {
    std::vector<evacuation> ended;
    for (const auto& [zone, it] : evacuations_) {
        const bool older = !it.carried_over() && it.value.revision < revision;
        if (it.value.active && older && !listed.contains(zone)) {
            ended.push_back({zone, revision, false});
        }
    }
    std::erase_if(ended, [this](const auto& it) { return !apply(it); });
    advance(store_kind::evacuations, revision);
    return ended;
}

void store_replica::advance(store_kind kind, std::uint64_t revision) {
    auto& it = revisions_[static_cast<std::size_t>(kind)];
    if (kind == store_kind::searchers && revision > 0 && it == 0) {
        completed_sequence_ = ++sequence_;
    }
    it = std::max(it, revision);
}

void store_replica::confirm(store_kind kind, time_point when) {
    auto& it = confirmed_[static_cast<std::size_t>(kind)];
    it = it ? std::max(*it, when) : when;
}

void store_replica::confirm(time_point when) {
    for (const auto kind : store_kinds) {
        confirm(kind, when);
    }
}

std::optional<time_point> store_replica::confirmed() const {
    // An absent confirmation is less than any other.
    return *std::min_element(confirmed_.begin(), confirmed_.end());
}

replica_update store_replica::update_since(const replica_position& from, time_point now) const {
    replica_update update;
    update.epoch = epoch_;
    update.sequence = sequence_;
    update.incarnation = incarnation_;
    update.raises_incarnation = incarnation_ > from.incarnation;
    update.revisions = revisions_;
    update.full = from.epoch != epoch_ || from.sequence < oldest_delta_sequence_;
    update.age = confirmed() ? std::max(duration::zero(), now - *confirmed()) : duration::max();
    const auto first = update.full ? 0 : from.sequence + 1;
    for (const auto& [id, it] : registrations_) {
        if (it.sequence >= first) {
            update.registrations.push_back(it.value);
        }
    }
    for (const auto& [zone, it] : evacuations_) {
        if (it.sequence >= first) {
            update.evacuations.push_back(it.value);
        }
    }
    update.completes_reader = completed_sequence_ > 0 && completed_sequence_ >= first;
    if (routing_.version > from.routing_version) {
        update.routing = routing_;
    }
    return update;
}

replica_update store_replica::searchers_after(const searchers_position& from) const {
    replica_update update;
    update.epoch = epoch_;
    update.incarnation = incarnation_;
    update.age = duration::max();
    constexpr auto kind = static_cast<std::size_t>(store_kind::searchers);
    update.revisions[kind] = revisions_[kind];
    const auto first = incarnation_ > from.incarnation ? 0 : from.revision + 1;
    for (const auto& [id, it] : registrations_) {
        if (it.value.revision >= first) {
            update.registrations.push_back(it.value);
        }
    }
    return update;
}

std::set<std::string> store_replica::evacuated_zones() const {
    std::set<std::string> zones;
    for (const auto& [zone, it] : evacuations_) {
        if (it.value.active) {
            zones.insert(zone);
        }
    }
    return zones;
}

void store_replica::drop_oldest_tombstone() {
    if (tombstones_ <= max_tombstones) {
        return;
    }
    auto oldest = registrations_.end();
    for (auto it = registrations_.begin(); it != registrations_.end(); ++it) {
        const bool older = oldest == registrations_.end() || it->second.sequence < oldest->second.sequence;
        if (!it->second.value.record && older) {
            oldest = it;
        }
    }
    oldest_delta_sequence_ = oldest->second.sequence + 1;
    registrations_.erase(oldest);
    --tombstones_;
}

} // namespace skylarkseam
