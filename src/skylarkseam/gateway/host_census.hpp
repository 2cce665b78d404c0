// Estimates how many gateways share the searchers' connection limits and the retry budgets. The number of
// hosts differs between zones and changes while the client load stays about the same, and network partitions
// hide hosts from each other.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace skylarkseam {

/// Host counts by which a gateway computes its share of a limit. Invariant: each count is at least 1.
struct host_counts {
    std::uint32_t total = 1;       ///< Number of hosts in the deployment
    std::uint32_t in_own_zone = 1; ///< Number of hosts in this host's zone
    std::uint32_t zones = 1;       ///< Number of zones with hosts, through which clients connect

    friend bool operator==(const host_counts&, const host_counts&) = default;
};

/// Overestimates the counts, so that the shares of all hosts rarely add up to more than the limit. A host
/// that is no longer heard from is still counted for 30 s. For the first 30 s after the start, a zone without
/// any known host is counted with as many hosts as the largest known zone. Shortly after the start, the total
/// is at least the minimum from the settings.
class host_census {
public:
    /// \param zones  every zone of the deployment
    /// \param min_hosts  lower bound of the total host count until the gateways have discovered each other
    host_census(std::string own_zone, std::set<std::string> zones, std::uint32_t min_hosts,
                time_point started_at);

    /// Records the number of known hosts in each zone at `now`, including this host.
    void update(const std::map<std::string, std::uint32_t>& hosts_by_zone, time_point now);

    [[nodiscard]] host_counts counts(time_point now) const;

private:
    struct count {
        std::uint32_t hosts = 0;
        time_point last_seen{}; ///< Time at which this count was last reached
    };

    std::string own_zone_;
    std::set<std::string> zones_;
    std::uint32_t min_hosts_;
    time_point started_at_;
    std::map<std::string, count> peak_counts_; ///< Highest recent host count by zone
};

} // namespace skylarkseam
