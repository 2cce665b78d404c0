// How many gateways share the searchers' connections and the budgets. Answers the load pattern in which zones
// have few hosts or many for about the same clients, while hosts come, go and lose sight of each other.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace skylarkseam {

/// What a gateway takes for its part. Invariant: each is at least 1.
struct host_shares {
    std::uint32_t all = 1;   ///< hosts of the deployment
    std::uint32_t here = 1;  ///< of them, those of this host's zone
    std::uint32_t zones = 1; ///< zones that clients come in through

    friend bool operator==(const host_shares&, const host_shares&) = default;
};

/// Counts on the careful side, so that the parts which hosts take seldom add up to more than the whole: a
/// host that is no longer heard of counts for a while longer, a zone that was never heard of counts for as
/// long like the largest known one, and a gateway that has just started counts at least as many hosts as its
/// settings say.
class host_census {
public:
    /// \param zones  every zone of the deployment; \param least  hosts until the group has met, at least 1
    host_census(std::string own_zone, std::set<std::string> zones, std::uint32_t least, time_point began);

    /// What is known of each zone at `now`, this host included.
    void update(const std::map<std::string, std::uint32_t>& hosts_by_zone, time_point now);

    [[nodiscard]] host_shares shares(time_point now) const;

private:
    struct count {
        std::uint32_t hosts = 0;
        time_point seen{}; ///< when there were last so many
    };

    std::string own_zone_;
    std::set<std::string> zones_;
    std::uint32_t least_;
    time_point began_;
    std::map<std::string, count> most_; ///< by zone, of the recent past
};

} // namespace skylarkseam
