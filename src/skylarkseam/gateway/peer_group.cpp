#include <skylarkseam/gateway/peer_group.hpp>

#include <algorithm>
#include <set>

namespace skylarkseam {

peer_group::peer_group(gateway_identity self, std::vector<std::string> seeds, peer_timing timing,
                       bool first_start, time_point now)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , timing_(timing)
    , alone_(first_start ? timing.alone : timing.alone_again)
    , began_(now)
    , greet_due_(now)
    , follow_due_(now) {
    std::erase(seeds_, self_.address);
}

void peer_group::set_seeds(std::vector<std::string> seeds) {
    seeds_ = std::move(seeds);
    std::erase(seeds_, self_.address);
}

void peer_group::note(const gateway_identity& who, time_point heard) {
    if (who.name == self_.name || who.name.empty()) {
        return;
    }
    auto& it = members_[who.name];
    if (!(it.who == who)) {
        it = {who, heard, {}};
    }
    it.heard = std::max(it.heard, heard);
}

void peer_group::merge(const group_view& view, time_point now) {
    note(view.sender, now);
    for (const auto& it : view.members) {
        if (it.age < timing_.forget) {
            note(it.who, now - it.age);
        }
    }
    for (const auto& [zone, counted] : view.hosts_of_zone) {
        const auto when = now - counted.age;
        auto& known = zones_[zone];
        if (zone != self_.zone && when > known.heard) {
            known = {counted.hosts, when};
        }
    }
    if (view.leaving) {
        members_.erase(view.sender.name);
    }
}

void peer_group::forget_old(time_point now) {
    std::erase_if(members_, [&](const auto& it) { return now - it.second.heard > timing_.forget; });
    std::erase_if(zones_, [&](const auto& it) { return now - it.second.heard > 4 * timing_.forget; });
}

const peer_group::member* peer_group::first_of_zone(const std::string& zone, time_point now) const {
    for (const auto& [name, it] : members_) {
        if (it.who.zone == zone && now >= it.shunned_until) {
            return &it;
        }
    }
    return nullptr;
}

bool peer_group::watches_store_for_zone(time_point now) const {
    // Every gateway of a zone comes to the same result once they know of each other.
    const auto* const first = first_of_zone(self_.zone, now);
    return first == nullptr || self_.name < first->who.name;
}

const peer_group::member* peer_group::to_follow(time_point now) const {
    if (!watches_store_for_zone(now)) {
        return first_of_zone(self_.zone, now);
    }
    std::set<std::string> zones{self_.zone};
    for (const auto& [name, it] : members_) {
        if (now >= it.shunned_until) {
            zones.insert(it.who.zone);
        }
    }
    // The next zone in the order of their names, round the ring.
    auto next = std::next(zones.find(self_.zone));
    next = next == zones.end() ? zones.begin() : next;
    return first_of_zone(*next, now);
}

void peer_group::take_calls(time_point now, std::vector<peer_call>& out) {
    forget_old(now);
    const auto* const target = to_follow(now);
    if (!follow_open_ && now >= follow_due_) {
        follow_due_ = now + timing_.greet_pause;
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
    greet_due_ = now + (known ? timing_.greet_interval : timing_.greet_pause);
    if (seeds_.empty() || (known && !watches_store_for_zone(now))) {
        return; // the one that is followed tells the others
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
    if (view) {
        merge(*view, now);
    }
    if (call.what == peer_call::kind::greet) {
        follow_due_ = std::min(follow_due_, now);
        return;
    }
    follow_open_ = false;
    follow_due_ = now;
    const bool fresh = view && age < timing_.max_knowledge_age;
    if (fresh) {
        followed_at_ = now;
        return;
    }
    for (auto& [name, it] : members_) {
        if (it.who.address == call.address) {
            it.shunned_until = now + timing_.shun;
        }
    }
}

void peer_group::take_call(const group_view& from, time_point now) {
    merge(from, now);
}

bool peer_group::should_watch_store(std::optional<time_point> confirmed, time_point now) const {
    if (watches_store_for_zone(now)) {
        return first_of_zone(self_.zone, now) != nullptr || followed_at_ || now >= began_ + alone_ ||
               seeds_.empty();
    }
    return confirmed ? now - *confirmed > timing_.max_knowledge_age : now > began_ + 2 * alone_;
}

group_view peer_group::view_for(const std::string& zone, time_point now) const {
    group_view view;
    view.sender = self_;
    view.leaving = leaving_;
    std::set<std::string> others;
    for (const auto& [name, it] : members_) {
        const bool told = it.who.zone == zone || others.insert(it.who.zone).second;
        if (told && now - it.heard < timing_.forget) {
            view.members.push_back({it.who, now - it.heard});
        }
    }
    for (const auto& [other, it] : zones_) {
        if (other != self_.zone) {
            view.hosts_of_zone[other] = {it.hosts, now - it.heard};
        }
    }
    if (watches_store_for_zone(now)) {
        view.hosts_of_zone[self_.zone] = {hosts_here(), {}};
    }
    return view;
}

std::uint32_t peer_group::hosts_here() const {
    std::uint32_t n = 1;
    for (const auto& [name, it] : members_) {
        n += it.who.zone == self_.zone ? 1 : 0;
    }
    return n;
}

std::map<std::string, std::uint32_t> peer_group::hosts_by_zone() const {
    // A zone whose watching gateway has not been heard of counts with those that are known one by one.
    std::map<std::string, std::uint32_t> by_zone;
    for (const auto& [name, it] : members_) {
        ++by_zone[it.who.zone];
    }
    for (const auto& [zone, it] : zones_) {
        by_zone[zone] = std::max(by_zone[zone], it.hosts);
    }
    by_zone[self_.zone] = hosts_here();
    return by_zone;
}

std::optional<time_point> peer_group::next_wakeup() const {
    std::optional<time_point> next = greet_due_;
    if (!followed_at_ && alone_ < timing_.greet_pause) {
        // Whether to ask the store by itself is decided between two greetings.
        next = std::min(*next, greet_due_ - timing_.greet_pause + alone_);
    }
    if (!follow_open_) {
        next = std::min(*next, follow_due_);
    }
    return next;
}

} // namespace skylarkseam
