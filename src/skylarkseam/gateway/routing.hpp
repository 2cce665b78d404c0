// The routing configuration of a gateway: which requests are allowed, and which services answer them.
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

/// Whether a request may be sent to a searcher again after it may have run.
enum class repeatability { idempotent, at_most_once };

/// All requests go to one service.
struct single_service {
    std::string service;
};

/// Requests are distributed over several services in proportion to their weights.
struct weighted_split {
    struct part {
        std::string service;
        double weight = 0.0; ///< above 0
    };
    std::vector<part> parts;
};

/// Each request goes to one searcher of every shard, and the answer is merged from their records.
struct shard_set {
    std::vector<std::string> services; ///< one a shard
    std::uint32_t result_limit = 0;    ///< records of the merged answer
    double min_share = 0.0;            ///< of the shards that a success has to hold
};

using route_plan = std::variant<single_service, weighted_split, shard_set>;

struct gateway_route {
    std::string name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< of the path; begins and ends with a slash
    repeatability repeat = repeatability::at_most_once;
    duration timeout{};                    ///< the longest that a request may be kept waiting
    duration objective{};                  ///< latency within which an answer is of full use
    std::uint32_t priority = 0;            ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;        ///< searchers that one request may be sent to, for each shard
    std::vector<std::string> home_regions; ///< empty: no restriction
    route_plan plan;
};

struct gateway_service {
    std::string name;
    std::uint32_t max_connections = 1; ///< of one searcher, from all hosts together
    double cold_rate = 0.0; ///< requests per second that a cold searcher bears from all hosts; 0: no limit
};

struct client_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 256U << 10U;
    duration header_timeout = seconds(30); ///< for all headers of a request
    duration idle_timeout = seconds(60);   ///< of a connection between two requests
};

/// One version of the configuration, never changed once it is built.
struct routing_table {
    std::uint64_t version = 0; ///< 0: none is known yet
    std::vector<gateway_route> routes;
    std::map<std::string, gateway_service> services;
    client_limits limits;
};

/// The route with the longest prefix of `path` among those of `host`, or nullptr. A port behind the host's
/// name is ignored, and so is the case of its letters.
[[nodiscard]] const gateway_route* find_route(const routing_table& table, std::string_view host,
                                              std::string_view path);

/// Every service that a route may send requests to.
[[nodiscard]] std::vector<std::string> services_of(const gateway_route& route);

} // namespace skylarkseam
