#include <skylarkseam/gateway/follower_polls.hpp>

#include <algorithm>
#include <utility>

namespace skylarkseam {

bool follower_polls::is_due(const held_poll& poll, const source_state& source, time_point now) const {
    if (now >= poll.until) {
        return true;
    }
    const auto confirmed = source.known->confirmed();
    if (!confirmed && !source.store_lost) {
        return false; // The first listing is in progress.
    }
    if (!source.known->update_since(poll.position, now).empty()) {
        return true;
    }
    if (source.store_lost || now - *confirmed >= timing_.max_source_age) {
        return now - poll.arrived >= timing_.stale_hold;
    }
    const auto sent = confirmed_sent_.find(poll.follower.name);
    return sent == confirmed_sent_.end() || *confirmed - sent->second >= timing_.refresh_interval;
}

std::vector<held_poll> follower_polls::take_due(const source_state& source, time_point now) {
    std::vector<held_poll> due;
    std::erase_if(held_, [&](const auto& it) {
        if (!is_due(it, source, now)) {
            return false;
        }
        due.push_back(it);
        return true;
    });
    const auto confirmed = source.known->confirmed();
    for (const auto& it : due) {
        if (confirmed && !source.store_lost) {
            confirmed_sent_[it.follower.name] = *confirmed;
        } else {
            confirmed_sent_.erase(it.follower.name);
        }
    }
    std::erase_if(confirmed_sent_, [&](const auto& it) { return now - it.second > timing_.member_ttl; });
    return due;
}

std::vector<held_poll> follower_polls::take_all() {
    return std::exchange(held_, {});
}

replica_update follower_polls::answer_to(const held_poll& poll, const source_state& source, time_point now) {
    auto update = source.known->update_since(poll.position, now);
    if (source.store_lost) {
        update.age = duration::max();
    }
    return update;
}

std::optional<time_point> follower_polls::next_wakeup(const source_state& source) const {
    std::optional<time_point> next;
    const auto confirmed = source.known->confirmed();
    for (const auto& it : held_) {
        auto due = it.until;
        if (source.store_lost) {
            due = std::min(due, it.arrived + timing_.stale_hold);
        } else if (confirmed) {
            due =
                std::min(due, std::max(it.arrived + timing_.stale_hold, *confirmed + timing_.max_source_age));
        }
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

} // namespace skylarkseam
