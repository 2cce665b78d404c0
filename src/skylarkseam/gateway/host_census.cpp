#include <skylarkseam/gateway/host_census.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Time for which a host count is kept. It exceeds the length of a restart or a usual network partition, so
/// that hosts which are temporarily unreachable keep their shares.
constexpr duration count_retention = seconds(30);
/// Time within which hosts that start together discover each other: two greetings and a call between regions.
constexpr duration group_discovery_time = seconds(2);

} // namespace

host_census::host_census(std::string own_zone, std::set<std::string> zones, std::uint32_t min_hosts,
                         time_point started_at)
    : own_zone_(std::move(own_zone))
    , zones_(std::move(zones))
    , min_hosts_(std::max(1U, min_hosts))
    , started_at_(started_at) {
    zones_.insert(own_zone_);
}

void host_census::update(const std::map<std::string, std::uint32_t>& hosts_by_zone, time_point now) {
    for (const auto& [zone, hosts] : hosts_by_zone) {
        auto& it = peak_counts_[zone];
        if (hosts >= it.hosts || now - it.last_seen > count_retention) {
            it = {hosts, now};
        }
    }
    std::erase_if(peak_counts_, [&](const auto& it) { return now - it.second.last_seen > count_retention; });
}

host_counts host_census::counts(time_point now) const {
    std::uint32_t largest = 1;
    for (const auto& [zone, it] : peak_counts_) {
        largest = std::max(largest, it.hosts);
    }
    const bool within_startup = now < started_at_ + count_retention;
    host_counts out{0, 1, 0};
    for (const auto& zone : zones_) {
        const auto it = peak_counts_.find(zone);
        const auto default_hosts = within_startup || zone == own_zone_ ? largest : 0;
        const auto hosts = it == peak_counts_.end() ? default_hosts : std::max(1U, it->second.hosts);
        out.total += hosts;
        out.zones += hosts > 0 ? 1 : 0;
        out.in_own_zone = zone == own_zone_ ? hosts : out.in_own_zone;
    }
    if (out.total < min_hosts_ && now < started_at_ + group_discovery_time) {
        out.total = min_hosts_;
        out.in_own_zone = std::max(out.in_own_zone, (min_hosts_ + out.zones - 1) / out.zones);
    }
    return out;
}

} // namespace skylarkseam
