#include <skylarkseam/gateway/peer_group.hpp>

#include <algorithm>
#include <set>

namespace skylarkseam {
namespace {

/// Time that a gateway needs to get a change from the store once it asks: a new connection, a slow answer and
/// a busy host.
constexpr duration store_inquiry_time = milliseconds(800);
/// Time by which the next gateway of a zone asks the store before the others do.
constexpr duration successor_lead = milliseconds(400);
constexpr duration min_source_age = milliseconds(400);

} // namespace

peer_timing peer_timing::within(duration bound) {
    peer_timing timing;
    timing.max_source_age = std::max(min_source_age, bound - store_inquiry_time - successor_lead);
    timing.max_knowledge_age = timing.max_source_age + successor_lead;
    return timing;
}

peer_group::peer_group(gateway_identity self, std::vector<std::string> seeds, peer_timing timing,
                       bool first_start, time_point now)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , timing_(timing)
    , solo_delay_(first_start ? timing.first_start_solo_delay : timing.restart_solo_delay)
    , started_at_(now)
    , greet_due_(now)
    , follow_due_(now) {
    std::erase(seeds_, self_.address);
}

void peer_group::set_seeds(std::vector<std::string> seeds) {
    seeds_ = std::move(seeds);
    std::erase(seeds_, self_.address);
}

void peer_group::record_member(const gateway_identity& who, time_point last_heard) {
    if (who.name == self_.name || who.name.empty()) {
        return;
    }
    auto& it = members_[who.name];
    if (!(it.who == who)) {
        it = {who, last_heard, {}, {}, false, {}};
    }
    it.last_heard = std::max(it.last_heard, last_heard);
}

void peer_group::merge(const group_view& view, time_point now) {
    record_member(view.sender, now);
    for (const auto& it : view.members) {
        if (it.age < timing_.member_ttl) {
            record_member(it.who, now - it.age);
        }
    }
    for (const auto& [zone, counted] : view.hosts_of_zone) {
        const auto when = now - counted.age;
        auto& known = zones_[zone];
        if (zone != self_.zone && when > known.last_heard) {
            known = {counted.hosts, when};
        }
    }
    if (view.leaving) {
        members_.erase(view.sender.name);
    }
}

void peer_group::drop_expired(time_point now) {
    std::erase_if(members_, [&](const auto& it) { return now - it.second.last_heard > timing_.member_ttl; });
    std::erase_if(zones_,
                  [&](const auto& it) { return now - it.second.last_heard > 4 * timing_.member_ttl; });
}

const peer_group::member* peer_group::first_of_zone(const std::string& zone, time_point now) const {
    for (const auto& [name, it] : members_) {
        if (it.who.zone == zone && now >= it.backoff_until) {
            return &it;
        }
    }
    return nullptr;
}

bool peer_group::watches_store_for_zone(time_point now) const {
    // All gateways of a zone reach the same result once they have discovered each other: the first by name.
    const auto* const first = first_of_zone(self_.zone, now);
    return first == nullptr || self_.name < first->who.name;
}

const peer_group::member* peer_group::follow_target(time_point now) const {
    if (!watches_store_for_zone(now)) {
        return first_of_zone(self_.zone, now);
    }
    if (has_predecessor() && !predecessors_failed(now)) {
        return nullptr; // It reaches the store itself, and only one gateway of a zone follows another region.
    }
    std::set<std::string> zones{self_.zone};
    for (const auto& [name, it] : members_) {
        if (now >= it.backoff_until) {
            zones.insert(it.who.zone);
        }
    }
    // The zones form a ring in the order of their names; this selects the next one.
    auto next = std::next(zones.find(self_.zone));
    next = next == zones.end() ? zones.begin() : next;
    return first_of_zone(*next, now);
}

bool peer_group::is_second_source(time_point now) const {
    const auto* const first = first_of_zone(self_.zone, now);
    if (!second_wanted_ || first == nullptr || self_.name < first->who.name) {
        return false;
    }
    return std::none_of(members_.begin(), members_.end(), [&](const auto& it) {
        const auto& who = it.second.who;
        return who.zone == self_.zone && who.name != first->who.name && who.name < self_.name &&
               it.second.may_be_second_source(now);
    });
}

const peer_group::member* peer_group::second_target(time_point now) const {
    const auto* const first = first_of_zone(self_.zone, now);
    if (first == nullptr || self_.name < first->who.name || is_second_source(now)) {
        return nullptr;
    }
    for (const auto& [name, it] : members_) {
        if (it.who.zone == self_.zone && &it != first && it.may_be_second_source(now)) {
            return &it;
        }
    }
    return nullptr;
}

void peer_group::take_second_calls(time_point now, std::vector<peer_call>& out) {
    if (!second_wanted_ || second_open_ || now < second_due_) {
        return;
    }
    second_due_ = now + timing_.discovery_interval;
    if (const auto* const target = second_target(now); target != nullptr) {
        second_open_ = true;
        out.push_back({peer_call::kind::follow_second, target->who.address});
    }
}

void peer_group::take_second_answer(const peer_call& call, bool answered, time_point now) {
    second_open_ = false;
    second_due_ = now;
    for (auto& [name, it] : members_) {
        if (it.who.address != call.address) {
            continue;
        }
        if (answered) {
            it.last_heard = now;
        } else {
            it.second_backoff_until = now + timing_.backoff;
        }
    }
}

void peer_group::take_calls(time_point now, std::vector<peer_call>& out) {
    drop_expired(now);
    take_second_calls(now, out);
    const auto* const target = follow_target(now);
    if (!follow_open_ && now >= follow_due_) {
        follow_due_ = now + timing_.discovery_interval;
        if (target != nullptr) {
            follow_open_ = true;
            follow_address_ = target->who.address;
            out.push_back({peer_call::kind::follow, follow_address_});
        }
    }
    if (now < greet_due_) {
        return;
    }
    const bool known = target != nullptr;
    greet_due_ = now + (known ? timing_.greet_interval : timing_.discovery_interval);
    if (seeds_.empty() || (known && !watches_store_for_zone(now))) {
        return; // The followed gateway includes this one in the views that it sends to others.
    }
    if (known) {
        out.push_back({peer_call::kind::greet, seeds_[next_seed_++ % seeds_.size()]});
        return;
    }
    for (const auto& it : seeds_) {
        out.push_back({peer_call::kind::greet, it});
    }
}

void peer_group::take_answer(const peer_call& call, const std::optional<group_view>& view, duration age,
                             time_point now) {
    if (call.what == peer_call::kind::follow_second) {
        take_second_answer(call, view.has_value(), now);
        return;
    }
    if (view) {
        merge(*view, now);
    }
    if (call.what == peer_call::kind::greet) {
        follow_due_ = std::min(follow_due_, now);
        return;
    }
    follow_open_ = false;
    follow_due_ = now;
    const bool fresh = view && age < timing_.max_source_age;
    if (fresh) {
        followed_at_ = now;
        return;
    }
    for (auto& [name, it] : members_) {
        if (it.who.address == call.address) {
            it.stale = view.has_value();
            it.backoff_until = now + (it.stale ? timing_.stale_backoff : timing_.backoff);
        }
    }
}

void peer_group::take_call(const group_view& from, time_point now) {
    merge(from, now);
}

bool peer_group::should_watch_store(std::optional<time_point> confirmed, time_point now) const {
    if (watches_store_for_zone(now)) {
        return first_of_zone(self_.zone, now) != nullptr || followed_at_ ||
               now >= started_at_ + solo_delay_ || seeds_.empty();
    }
    if (!confirmed) {
        return now > started_at_ + 2 * solo_delay_;
    }
    return now - *confirmed > timing_.max_knowledge_age;
}

group_view peer_group::view_for(const std::string& zone, time_point now) const {
    group_view view;
    view.sender = self_;
    view.leaving = leaving_;
    std::set<std::string> others;
    for (const auto& [name, it] : members_) {
        const bool included = it.who.zone == zone || others.insert(it.who.zone).second;
        if (included && now - it.last_heard < timing_.member_ttl) {
            view.members.push_back({it.who, now - it.last_heard});
        }
    }
    for (const auto& [other, it] : zones_) {
        if (other != self_.zone) {
            view.hosts_of_zone[other] = {it.hosts, now - it.last_heard};
        }
    }
    if (watches_store_for_zone(now)) {
        view.hosts_of_zone[self_.zone] = {own_zone_hosts(), {}};
    }
    return view;
}

group_view peer_group::view_for_follower(const gateway_identity& follower, bool knows_members,
                                         time_point now) {
    auto view = view_for(follower.zone, now);
    const auto found = members_.find(follower.name);
    if (found == members_.end()) {
        return view;
    }
    auto& sent_at = found->second.members_sent_at;
    if (knows_members && now - sent_at < timing_.member_list_interval) {
        view.members.clear();
    } else {
        sent_at = now;
    }
    return view;
}

bool peer_group::predecessors_failed(time_point now) const {
    return std::all_of(members_.begin(), members_.end(), [&](const auto& it) {
        const bool predecessor = it.second.who.zone == self_.zone && it.first < self_.name;
        return !predecessor || (now < it.second.backoff_until && !it.second.stale);
    });
}

bool peer_group::has_predecessor() const {
    return std::any_of(members_.begin(), members_.end(), [this](const auto& it) {
        return it.second.who.zone == self_.zone && it.first < self_.name;
    });
}

std::vector<gateway_identity> peer_group::members() const {
    std::vector<gateway_identity> out;
    out.reserve(members_.size());
    for (const auto& [name, it] : members_) {
        out.push_back(it.who);
    }
    return out;
}

std::uint32_t peer_group::own_zone_hosts() const {
    std::uint32_t n = 1;
    for (const auto& [name, it] : members_) {
        n += it.who.zone == self_.zone ? 1 : 0;
    }
    return n;
}

std::map<std::string, std::uint32_t> peer_group::hosts_by_zone() const {
    // For a zone without a reported count, the individually known members are counted.
    std::map<std::string, std::uint32_t> by_zone;
    for (const auto& [name, it] : members_) {
        ++by_zone[it.who.zone];
    }
    for (const auto& [zone, it] : zones_) {
        by_zone[zone] = std::max(by_zone[zone], it.hosts);
    }
    by_zone[self_.zone] = own_zone_hosts();
    return by_zone;
}

std::optional<time_point> peer_group::next_wakeup() const {
    std::optional<time_point> next = greet_due_;
    if (!followed_at_ && solo_delay_ < timing_.discovery_interval) {
        // The decision to watch the store without a peer is due between two greetings.
        next = std::min(*next, greet_due_ - timing_.discovery_interval + solo_delay_);
    }
    if (!follow_open_) {
        next = std::min(*next, follow_due_);
    }
    if (second_wanted_ && !second_open_) {
        next = std::min(*next, second_due_);
    }
    return next;
}

} // namespace skylarkseam
