#include <skylarkseam/control/handover_tracker.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

bool same_handover(const handover& one, const handover& other) {
    return one.searcher == other.searcher && one.former == other.former &&
           one.former_incarnation == other.former_incarnation && one.epoch == other.epoch;
}

} // namespace

void handover_tracker::update_known_handovers(const cell_record& record, time_point now) {
    std::vector<pending_handover> known;
    for (const auto& it : record.handovers) {
        const auto before = std::ranges::find_if(
            known_handovers_, [&](const pending_handover& one) { return same_handover(one.from, it); });
        known.push_back(before == known_handovers_.end() ? pending_handover{it, now + it.wait} : *before);
        if (it.former == self_ && it.former_incarnation == incarnation_) {
            known.back().drained = true;
        }
    }
    known_handovers_ = std::move(known);
}

void handover_tracker::adopt(const cell_record& record, time_point now, serving_change& change) {
    update_known_handovers(record, now);
    std::set<std::string> owned;
    if (is_member(record, self_, incarnation_)) {
        for (const auto& [name, node] : record.owners.owner_of) {
            if (node == self_) {
                owned.insert(name);
            }
        }
    }
    for (const auto& it : serving_) {
        if (!owned.contains(it)) {
            change.stopped.push_back(it);
            draining_.insert(it);
        }
    }
    std::erase_if(serving_, [&](const auto& it) { return !owned.contains(it); });
    pending_.clear();
    for (const auto& it : owned) {
        if (serving_.contains(it)) {
            continue;
        }
        pending_.emplace(it, pending_handover{{it, {}, 0, record.owners.epoch, {}}, now});
        for (const auto& one : known_handovers_) {
            if (one.from.searcher == it) {
                pending_.emplace(it, one);
            }
        }
    }
    start_ready(now, change);
}

bool handover_tracker::on_release(const std::string& former, std::uint64_t incarnation, epoch_id epoch,
                                  const std::vector<std::string>& searchers, time_point now,
                                  serving_change& change) {
    bool all_known = true;
    for (const auto& name : searchers) {
        for (auto& it : known_handovers_) {
            it.drained = it.drained || (it.from.searcher == name && it.from.former == former &&
                                        it.from.former_incarnation == incarnation && epoch >= it.from.epoch);
        }
        bool known = serving_.contains(name);
        const auto [first, last] = pending_.equal_range(name);
        for (auto it = first; it != last; ++it) {
            const auto& from = it->second.from;
            known = known || epoch >= from.epoch;
            it->second.drained =
                it->second.drained ||
                (from.former == former && from.former_incarnation == incarnation && epoch >= from.epoch);
        }
        all_known = all_known && known;
    }
    start_ready(now, change);
    return all_known;
}

void handover_tracker::advance(time_point now, serving_change& change) {
    start_ready(now, change);
}

void handover_tracker::start_ready(time_point now, serving_change& change) {
    for (auto it = pending_.begin(); it != pending_.end();) {
        const auto last = pending_.upper_bound(it->first);
        const auto is_over = [&](const auto& one) { return one.second.drained || one.second.until <= now; };
        if (!std::all_of(it, last, is_over)) {
            it = last;
            continue;
        }
        const bool drained = std::any_of(it, last, [](const auto& one) { return one.second.drained; });
        change.started.push_back(it->first);
        if (drained) {
            change.handed_over.push_back(it->first);
        }
        serving_.insert(it->first);
        draining_.erase(it->first);
        unacknowledged_releases_.erase(it->first);
        it = pending_.erase(it, last);
    }
}

void handover_tracker::mark_drained(const std::string& searcher) {
    if (draining_.erase(searcher) > 0) {
        unacknowledged_releases_.insert(searcher);
    }
}

void handover_tracker::release_received(const std::string& searcher) {
    unacknowledged_releases_.erase(searcher);
}

bool handover_tracker::may_be_pending(const handover& it, time_point now) const {
    const auto found = std::ranges::find_if(
        known_handovers_, [&](const pending_handover& one) { return same_handover(one.from, it); });
    return found == known_handovers_.end() || found->until > now;
}

std::size_t handover_tracker::waiting() const {
    std::size_t n = 0;
    for (auto it = pending_.begin(); it != pending_.end(); it = pending_.upper_bound(it->first)) {
        ++n;
    }
    return n;
}

std::optional<time_point> handover_tracker::next_wakeup() const {
    std::optional<time_point> next;
    for (auto it = pending_.begin(); it != pending_.end();) {
        const auto last = pending_.upper_bound(it->first);
        time_point until{};
        for (; it != last; ++it) {
            until = it->second.drained ? until : std::max(until, it->second.until);
        }
        next = next ? std::min(*next, until) : until;
    }
    return next;
}

} // namespace skylarkseam
