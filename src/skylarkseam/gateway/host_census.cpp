#include <skylarkseam/gateway/host_census.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Longer than a restart or the usual partition, so that those who cannot be heard keep their parts.
constexpr duration memory = seconds(30);
/// Hosts that start together have met within two greetings and a call between regions.
constexpr duration group_meets = seconds(2);

} // namespace

host_census::host_census(std::string own_zone, std::set<std::string> zones, std::uint32_t least,
                         time_point began)
    : own_zone_(std::move(own_zone))
    , zones_(std::move(zones))
    , least_(std::max(1U, least))
    , began_(began) {
    zones_.insert(own_zone_);
}

void host_census::update(const std::map<std::string, std::uint32_t>& hosts_by_zone, time_point now) {
    for (const auto& [zone, hosts] : hosts_by_zone) {
        auto& it = most_[zone];
        if (hosts >= it.hosts || now - it.seen > memory) {
            it = {hosts, now};
        }
    }
    std::erase_if(most_, [&](const auto& it) { return now - it.second.seen > memory; });
}

host_shares host_census::shares(time_point now) const {
    std::uint32_t largest = 1;
    for (const auto& [zone, it] : most_) {
        largest = std::max(largest, it.hosts);
    }
    const bool may_be_unheard = now < began_ + memory;
    host_shares out{0, 1, 0};
    for (const auto& zone : zones_) {
        const auto it = most_.find(zone);
        const auto unheard = may_be_unheard || zone == own_zone_ ? largest : 0;
        const auto hosts = it == most_.end() ? unheard : std::max(1U, it->second.hosts);
        out.all += hosts;
        out.zones += hosts > 0 ? 1 : 0;
        out.here = zone == own_zone_ ? hosts : out.here;
    }
    if (out.all < least_ && now < began_ + group_meets) {
        out.all = least_;
        out.here = std::max(out.here, (least_ + out.zones - 1) / out.zones);
    }
    return out;
}

} // namespace skylarkseam
