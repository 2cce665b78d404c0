// Routing configuration of a gateway: the allowed requests and the services that answer them.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkseam {

/// Whether a request that may have run may be sent to a searcher again.
enum class repeatability { idempotent, at_most_once };

/// All requests go to one service.
struct single_service {
    std::string service;
};

/// Requests are distributed over several services in proportion to their weights.
struct weighted_split {
    struct part {
        std::string service;
        double weight = 0.0; ///< Weight of the service; greater than 0.
    };
    std::vector<part> parts;
};

/// Each request goes to one searcher of every shard, and the answer is merged from their records.
struct shard_set {
    std::vector<std::string> services; ///< Services of the shards, one per shard.
    std::uint32_t result_limit = 0;    ///< Maximum number of records in the merged answer.
    double min_share = 0.0;            ///< Minimum share of the shards in a successful answer.
};

using route_plan = std::variant<single_service, weighted_split, shard_set>;

struct gateway_route {
    std::string name;
    std::string host;   ///< Host name in lower case, without a port.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    repeatability repeat = repeatability::at_most_once;
    duration timeout{};         ///< Longest time that a request may take.
    duration objective{};       ///< Target latency; a later answer is of less use to the client.
    std::uint32_t priority = 0; ///< Priority of the requests; 0 is the highest.
    /// Maximum number of searchers that a request may be sent to, per shard.
    std::uint32_t max_attempts = 1;
    /// Regions that may get the requests; empty if there is no restriction.
    std::vector<std::string> home_regions;
    route_plan plan;
};

struct gateway_service {
    std::string name;
    /// Maximum number of connections to one searcher, from all hosts together.
    std::uint32_t max_connections = 1;
    /// Requests per second that a cold searcher can handle from all hosts; 0 if there is no limit.
    double cold_rate = 0.0;
    std::string liveness_path{}; ///< Path of the searchers' liveness check; empty if there is none.
    /// Longest time for which a searcher stays cold; the maximum if it is not stated.
    duration warm_up = duration::max();
};

struct client_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 256U << 10U;
    duration header_timeout = seconds(30); ///< Timeout for receiving all headers of a request.
    duration idle_timeout = seconds(60);   ///< Timeout of a connection between two requests.
};

/// One version of the configuration; immutable once it is built.
struct routing_table {
    std::uint64_t version = 0; ///< Version number; 0 if no configuration has been received yet.
    std::vector<gateway_route> routes;
    std::map<std::string, gateway_service> services;
    client_limits limits;

    /// Whether a service limits the rate at its cold searchers, so that reports of them count by the second.
    [[nodiscard]] bool limits_cold_rates() const;
};

/// Returns the route with the longest prefix of `path` among those of `host`, or nullptr. The port and the
/// letter case of the host name are ignored.
[[nodiscard]] const gateway_route* find_route(const routing_table& table, std::string_view host,
                                              std::string_view path);

/// All services that a route may send requests to.
[[nodiscard]] std::vector<std::string> services_of(const gateway_route& route);

} // namespace skylarkseam
