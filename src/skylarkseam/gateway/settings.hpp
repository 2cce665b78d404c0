// Settings of a gateway. They extend the node settings where searchers register in the platform's store.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace skylarkseam {

struct gateway_settings {
    std::string readiness; ///< Listening address (ip:port) of the readiness endpoint polled by the balancer
    std::map<std::string, std::string> region_of_zone; ///< Region of every zone of the deployment
    double extra_ratio = 0.2; ///< Retry budget: extra attempts per request to a service, over all hosts
    double extra_slack = 0.0; ///< Retry budget: additional extra attempts in each window, over all hosts
    duration extra_window = seconds(10);
    duration stop_grace = seconds(6); ///< Time from SIGTERM until the process is killed
    /// Times within which a change is in force on every host that reaches the store, counted from the store's
    /// acknowledgement.
    duration configuration_in_force = seconds(4);
    duration evacuation_in_force = seconds(5);
    duration drain_in_force = seconds(4);
    bool first_start = false; ///< Whether this is the first start of the whole deployment, before any client
    /// Minimum number of hosts that are assumed to share connections and budgets until the gateways have
    /// discovered each other.
    std::uint32_t least_hosts = 8;
};

} // namespace skylarkseam
