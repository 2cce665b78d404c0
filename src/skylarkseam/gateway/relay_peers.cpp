#include <skylarkseam/gateway/relay_peers.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Time after which a peer that declined, mostly because it is cut off as well, is asked again.
constexpr duration declined_time = seconds(3);
constexpr duration lost_time = seconds(3);
/// Time for which a peer that has taken a request counts as one that takes more.
constexpr duration word_memory = seconds(3);
/// Failed peers of a zone, with none that has taken a request, from which on other zones are asked first.
constexpr std::size_t failures_before_other_zone = 3;
/// Peers known to take requests from which on no others are asked. The requests of a host are spread over
/// them, so that no peer gets those of many hosts.
constexpr std::size_t wanted_peers = 4;
/// Peers that are asked at a time.
constexpr std::size_t max_questions = 4;
/// Time after which a peer that has not said that it takes requests is asked again.
constexpr duration repeat_question_after = seconds(1);
/// Peers that are named in one answer.
constexpr std::size_t max_named = 6;
/// Peers beyond which no named ones are remembered.
constexpr std::size_t max_peers = 1000;

} // namespace

bool relay_peers::takes(const peer& it, time_point now) {
    return now >= it.avoided_until && it.last_word && now - *it.last_word < word_memory;
}

void relay_peers::set(const std::vector<relay_peer>& peers) {
    const auto is_listed = [&](const peer& it) {
        return std::find(peers.begin(), peers.end(), it.who) != peers.end();
    };
    std::erase_if(peers_, [&](const auto& it) { return !it.second.named_only && !is_listed(it.second); });
    for (const auto& who : peers) {
        auto& it = peers_[who.address];
        it.who = who;
        it.named_only = false;
    }
}

relay_peers::preference relay_peers::preference_of(const peer& it, time_point now) const {
    const auto found = zones_.find(it.who.zone);
    const bool cut_off = found != zones_.end() && !found->second.takes &&
                         found->second.failed >= std::min(failures_before_other_zone, found->second.known);
    return {cut_off, view_.distance_to(it.who.zone), !takes(it, now)};
}

void relay_peers::count_zones(time_point now) {
    zones_.clear();
    for (const auto& [address, it] : peers_) {
        auto& zone = zones_[it.who.zone];
        ++zone.known;
        zone.failed += now < it.avoided_until ? 1 : 0;
        zone.takes = zone.takes || takes(it, now);
    }
}

std::optional<relay_peer> relay_peers::pick(std::span<const std::string> tried,
                                            std::span<const std::string> regions, time_point now) {
    count_zones(now);
    const auto usable = [&](const peer& it) {
        const auto region = view_.region_of(it.who.zone);
        const bool allowed = regions.empty() || region == view_.region ||
                             std::find(regions.begin(), regions.end(), region) != regions.end();
        return allowed && now >= it.avoided_until &&
               std::find(tried.begin(), tried.end(), it.who.address) == tried.end();
    };
    std::vector<const peer*> best;
    preference lowest;
    for (const auto& [address, it] : peers_) {
        if (!usable(it)) {
            continue;
        }
        const auto rank = preference_of(it, now);
        if (best.empty() || rank < lowest) {
            best.clear();
            lowest = rank;
        }
        if (rank == lowest) {
            best.push_back(&it);
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return best[random_(static_cast<std::uint32_t>(best.size()))]->who;
}

void relay_peers::note_declined(const std::string& address, time_point now) {
    const auto it = peers_.find(address);
    if (it != peers_.end()) {
        it->second.avoided_until = now + declined_time;
    }
}

void relay_peers::note_word(const std::string& address, time_point now) {
    const auto it = peers_.find(address);
    if (it != peers_.end()) {
        it->second.last_word = now;
    }
}

void relay_peers::note_lost(const std::string& address, time_point now) {
    const auto it = peers_.find(address);
    if (it != peers_.end()) {
        it->second.avoided_until = now + lost_time;
    }
}

void relay_peers::note_silence(const std::string& address, time_point sent, time_point now) {
    const auto it = peers_.find(address);
    if (it != peers_.end() && (!it->second.last_word || *it->second.last_word < sent)) {
        note_lost(address, now);
    }
}

std::vector<std::string> relay_peers::take_questions(time_point now) {
    std::vector<std::string> out;
    if (now < next_questions()) {
        return out;
    }
    asked_at_ = now;
    std::size_t taking = 0;
    std::map<std::string, std::vector<peer*>> due; // By zone
    for (auto& [address, it] : peers_) {
        taking += takes(it, now) ? 1 : 0;
        const bool asked = it.asked_at && now - *it.asked_at < repeat_question_after;
        if (!asked && !takes(it, now)) {
            due[it.who.zone].push_back(&it);
        }
    }
    while (taking < wanted_peers && out.size() < max_questions && !due.empty()) {
        for (auto zone = due.begin(); zone != due.end() && out.size() < max_questions;) {
            out.push_back(ask_one(zone->second, now));
            zone = zone->second.empty() ? due.erase(zone) : std::next(zone);
        }
    }
    return out;
}

std::string relay_peers::ask_one(std::vector<peer*>& due, time_point now) {
    // One that has never been asked, else any.
    const auto fresh = std::partition(due.begin(), due.end(), [](const peer* it) { return !it->asked_at; });
    const auto end = fresh == due.begin() ? due.end() : fresh;
    const auto at = due.begin() + random_(static_cast<std::uint32_t>(end - due.begin()));
    (*at)->asked_at = now;
    auto address = (*at)->who.address;
    due.erase(at);
    return address;
}

void relay_peers::note_question_unanswered(const std::string& address, time_point now) {
    const auto found = peers_.find(address);
    if (found != peers_.end() && found->second.asked_at) {
        note_silence(address, *found->second.asked_at, now);
    }
}

void relay_peers::note_offer(const std::string& address, const relay_offer& offer, time_point now) {
    const auto found = peers_.find(address);
    if (found == peers_.end()) {
        return;
    }
    if (offer.takes) {
        found->second.last_word = now;
        found->second.avoided_until = now;
    } else {
        note_declined(address, now);
    }
    for (const auto& it : offer.others) {
        if (peers_.size() < max_peers && !view_.region_of(it.zone).empty()) {
            peers_.try_emplace(it.address, peer{it, true, {}, {}, {}});
        }
    }
}

void relay_peers::forget_named() {
    std::erase_if(peers_, [](const auto& it) { return it.second.named_only; });
}

std::vector<relay_peer> relay_peers::named_to_others(time_point now) {
    std::vector<relay_peer> out;
    for (const auto& [address, it] : peers_) {
        if (it.who.zone == view_.zone && now >= it.avoided_until) {
            out.push_back(it.who);
        }
    }
    while (out.size() > max_named) {
        out.erase(out.begin() + random_(static_cast<std::uint32_t>(out.size())));
    }
    return out;
}

} // namespace skylarkseam
