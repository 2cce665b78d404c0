// The settings of a gateway: what a node needs besides its own where searchers register themselves in the
// platform's store.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace skylarkseam {

struct gateway_settings {
    std::string readiness;                             ///< ip:port where the balancer asks
    std::map<std::string, std::string> region_of_zone; ///< every zone of the deployment
    double extra_ratio = 0.2; ///< extra attempts at a service for each of its requests, over all hosts
    double extra_slack = 0.0; ///< extra attempts besides, in each window, over all hosts
    duration extra_window = seconds(10);
    duration stop_grace = seconds(6); ///< from SIGTERM until the process is ended
    bool first_start = false;         ///< the whole deployment starts for the first time, before any client
    std::uint32_t least_hosts = 8;    ///< that share connections and budgets, until the group has met
};

} // namespace skylarkseam
