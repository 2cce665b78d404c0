#include <skylarkseam/gateway/directory.hpp>

#include <algorithm>
#include <utility>

namespace skylarkseam {

std::string placement_view::region_of(const std::string& other) const {
    const auto it = region_of_zone.find(other);
    return it == region_of_zone.end() ? std::string() : it->second;
}

distance placement_view::distance_to(const std::string& other) const {
    if (other == zone) {
        return distance::same_zone;
    }
    const auto other_region = region_of(other);
    const bool same = other_region == region && !other_region.empty();
    return same ? distance::same_region : distance::other_region;
}

directory::directory(placement_view view, directory_timing timing, observer on_change)
    : view_(std::move(view))
    , timing_(timing)
    , on_change_(std::move(on_change)) {}

void directory::add(const searcher_record& record, time_point left_at, time_point now) {
    auto it = std::make_shared<known_searcher>();
    it->record = record;
    it->region = view_.region_of(record.zone);
    it->network_distance = view_.distance_to(record.zone);
    it->evacuated = evacuated_.contains(record.zone);
    it->cold_until = now + record.cold_for;
    if (record.draining) {
        it->leaving = left_at;
    }
    by_id_[record.id] = it;
    by_service_[record.service].push_back(it);
    on_change_(*it, record.draining ? "draining" : "registered", "entry");
}

bool directory::may_be_outdated(const searcher_record& record, time_point now) const {
    if (record.draining || now >= restored_until_) {
        return false;
    }
    const auto known = by_id_.find(record.id);
    if (known != by_id_.end()) {
        return known->second->leaving && known->second->record.started_at == record.started_at;
    }
    const auto removed = removed_.find(record.id);
    return removed != removed_.end() && removed->second.started_at == record.started_at;
}

void directory::put(const searcher_record& record, time_point now, duration knowledge_age) {
    const auto left_at = now - knowledge_age;
    held_back_.erase(record.id);
    if (may_be_outdated(record, now)) {
        held_back_[record.id] = record;
        return;
    }
    removals_.erase(record.id);
    const auto found = by_id_.find(record.id);
    if (found == by_id_.end()) {
        add(record, left_at, now);
        return;
    }
    auto& known = *found->second;
    const bool same_start = known.record.started_at == record.started_at &&
                            known.record.address == record.address &&
                            known.record.service == record.service && known.record.zone == record.zone;
    if (!same_start) {
        on_change_(known, "forgotten", "it started again");
        known.ended = true;
        drop(record.id);
        add(record, left_at, now);
        return;
    }
    if (!known.registered) {
        on_change_(known, "registered", "its entry is back");
        known.ended = false;
    }
    known.registered = true;
    if (record.draining != known.record.draining) {
        on_change_(known, record.draining ? "draining" : "ready", "entry");
    }
    if (!record.draining && !known.announced_leaving) {
        known.leaving.reset();
    } else if (!known.leaving) {
        known.leaving = left_at;
    }
    if (record.cold_for != known.record.cold_for) {
        if (record.cold_for > known.record.cold_for) {
            known.cold_allowance_at.reset();
        }
        known.cold_until = now + record.cold_for;
    }
    known.record = record;
}

void directory::remove(const std::string& id, bool store_was_away, time_point now, duration knowledge_age) {
    held_back_.erase(id);
    const auto found = by_id_.find(id);
    if (found == by_id_.end() || !found->second->registered) {
        return;
    }
    auto& it = *found->second;
    it.registered = false;
    it.ended = it.ended || !store_was_away;
    // During a store outage the entry of a running searcher can expire, so the searcher stays in use.
    if (!store_was_away && !it.leaving) {
        it.leaving = now - knowledge_age;
    }
    removals_[id] = now + timing_.removal_grace;
    on_change_(it, "entry_gone", store_was_away ? "the store was away" : "entry removed");
}

void directory::retain(const std::set<std::string>& listed, bool store_was_away, time_point now) {
    for (const auto& [id, it] : by_id_) {
        if (!listed.contains(id)) {
            remove(id, store_was_away, now);
        }
    }
}

void directory::set_evacuated(const std::set<std::string>& zones, time_point now) {
    evacuated_ = zones;
    for (const auto& [id, it] : by_id_) {
        const bool out = zones.contains(it->record.zone);
        if (out != it->evacuated) {
            it->evacuated = out;
            if (!out) {
                it->unreported_since = now;
                it->cold_allowance_at.reset();
            }
            on_change_(*it, out ? "evacuated" : "zone_back", "zone " + it->record.zone);
        }
    }
}

void directory::expire(time_point now) {
    std::erase_if(removed_, [&](const auto& it) { return now >= it.second.when + timing_.removal_memory; });
    if (now >= restored_until_ && !held_back_.empty()) {
        const auto entries = std::exchange(held_back_, {});
        for (const auto& [id, record] : entries) {
            put(record, now);
        }
    }
    for (auto it = removals_.begin(); it != removals_.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        const auto found = by_id_.find(it->first);
        if (found != by_id_.end()) {
            on_change_(*found->second, "forgotten", "its entry did not come back");
            removed_[it->first] = {found->second->record.started_at, now};
            drop(it->first);
        }
        it = removals_.erase(it);
    }
}

std::optional<time_point> directory::next_wakeup() const {
    std::optional<time_point> next;
    if (!held_back_.empty()) {
        next = restored_until_;
    }
    for (const auto& [id, when] : removals_) {
        if (!next || when < *next) {
            next = when;
        }
    }
    return next;
}

void directory::mark_replaced(known_searcher& it) {
    if (it.fault != searcher_fault::replaced) {
        it.fault = searcher_fault::replaced;
        it.ended = true;
        on_change_(it, "replaced", "another searcher has its address");
    }
}

const std::vector<known_searcher_ptr>& directory::of_service(const std::string& service) const {
    static const std::vector<known_searcher_ptr> none;
    const auto it = by_service_.find(service);
    return it == by_service_.end() ? none : it->second;
}

std::size_t directory::count(searcher_fault fault) const {
    return static_cast<std::size_t>(std::count_if(by_id_.begin(), by_id_.end(),
                                                  [&](const auto& it) { return it.second->fault == fault; }));
}

bool directory::drained(const known_searcher& it, time_point now) const {
    return it.leaving && now >= *it.leaving + timing_.drain_grace;
}

bool directory::may_be_cold(const known_searcher& it, duration warm_up, time_point now) const {
    const bool unreported =
        it.unreported_since && now - *it.unreported_since < std::min(warm_up, timing_.report_time);
    return unreported || now < it.cold_until;
}

void directory::drop(const std::string& id) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return;
    }
    auto& list = by_service_[found->second->record.service];
    std::erase(list, found->second);
    if (list.empty()) {
        by_service_.erase(found->second->record.service);
    }
    by_id_.erase(found);
}

} // namespace skylarkseam
