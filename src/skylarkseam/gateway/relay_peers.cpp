#include <skylarkseam/gateway/relay_peers.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Time after which a peer that declined, mostly because it is cut off as well, is asked again.
constexpr duration declined_time = seconds(3);
constexpr duration lost_time = seconds(3);
/// Time for which a peer that has taken a request shows that not all of its zone is cut off.
constexpr duration word_memory = seconds(3);
/// Failed peers of a zone, with none that has taken a request, from which on other zones are asked first.
constexpr std::size_t failures_before_other_zone = 3;

} // namespace

std::pair<bool, int> relay_peers::rank(const relay_peer& it) const {
    const auto found = zones_.find(it.zone);
    const bool cut_off = found != zones_.end() && !found->second.takes &&
                         found->second.failed >= std::min(failures_before_other_zone, found->second.known);
    const int near = it.region == region_ ? 1 : 2;
    return {cut_off, it.zone == zone_ ? 0 : near};
}

void relay_peers::count_zones(time_point now) {
    std::erase_if(avoided_until_, [now](const auto& it) { return now >= it.second; });
    std::erase_if(last_word_, [now](const auto& it) { return now - it.second >= word_memory; });
    zones_.clear();
    for (const auto& it : peers_) {
        auto& zone = zones_[it.zone];
        ++zone.known;
        zone.failed += avoided_until_.contains(it.address) ? 1 : 0;
        zone.takes = zone.takes || last_word_.contains(it.address);
    }
}

std::optional<relay_peer> relay_peers::pick(std::span<const std::string> tried,
                                            std::span<const std::string> regions, time_point now) {
    count_zones(now);
    const auto usable = [&](const relay_peer& it) {
        const bool allowed = regions.empty() || it.region == region_ ||
                             std::find(regions.begin(), regions.end(), it.region) != regions.end();
        return allowed && !avoided_until_.contains(it.address) &&
               std::find(tried.begin(), tried.end(), it.address) == tried.end();
    };
    std::vector<const relay_peer*> best;
    for (const auto& it : peers_) {
        if (!usable(it)) {
            continue;
        }
        if (!best.empty() && rank(it) < rank(*best.front())) {
            best.clear();
        }
        if (best.empty() || rank(it) == rank(*best.front())) {
            best.push_back(&it);
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return *best[random_(static_cast<std::uint32_t>(best.size()))];
}

void relay_peers::note_declined(const std::string& address, time_point now) {
    avoided_until_[address] = now + declined_time;
}

void relay_peers::note_word(const std::string& address, time_point now) {
    last_word_[address] = now;
}

void relay_peers::note_lost(const std::string& address, time_point now) {
    avoided_until_[address] = now + lost_time;
}

void relay_peers::note_silence(const std::string& address, time_point sent, time_point now) {
    const auto word = last_word_.find(address);
    if (word == last_word_.end() || word->second < sent) {
        note_lost(address, now);
    }
}

} // namespace skylarkseam
