// The declarative configuration in the form that the core uses: validated, complete and of one generation.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

using shard_id = std::uint32_t;
using snapshot_id = std::uint64_t;   ///< Version of the index. A larger value is newer; 0 means no snapshot.
using generation_id = std::uint64_t; ///< Generation of the configuration; it increases monotonically.

/// Operator-controlled state of an upstream or availability zone: in service or out of service for new work.
enum class service_state { in, out };

/// Priority of a request, highest first. The queues serve higher classes first without starving lower ones.
enum class request_class { urgent, interactive, deferrable };

[[nodiscard]] std::string_view name_of(service_state state);
[[nodiscard]] std::string_view name_of(request_class cls);
[[nodiscard]] std::optional<service_state> find_service_state(std::string_view name);
[[nodiscard]] std::optional<request_class> find_request_class(std::string_view name);

struct availability_zone {
    std::string name;
    service_state state = service_state::in;
    friend bool operator==(const availability_zone&, const availability_zone&) = default;
};

struct searcher {
    std::string name;    ///< Name of the searcher; unique across all groups.
    std::string address; ///< Address as ip:port.
    std::string zone;
    std::vector<shard_id> shards; ///< Shards of the searcher in ascending order; never empty.
    service_state state = service_state::in;
    friend bool operator==(const searcher&, const searcher&) = default;
};

/// Slow-start settings: how the slot limit of a cold searcher grows back to the group's full slots.
struct cold_start {
    std::uint32_t slots = 1; ///< Slot limit of a cold searcher; between 1 and the group's slots.
    /// Number of slots added after each interval without new evidence of a cold searcher.
    std::uint32_t step = 1;
    duration interval = seconds(1);
    friend bool operator==(const cold_start&, const cold_start&) = default;
};

struct upstream_group {
    std::string name;
    std::vector<searcher> searchers;
    std::uint32_t slots = 1; ///< Maximum number of concurrent requests at a warm searcher.
    /// Maximum number of connections that a searcher accepts; at least `slots`.
    std::uint32_t connections = 1;
    cold_start cold;
    friend bool operator==(const upstream_group&, const upstream_group&) = default;
};

struct service {
    std::string name;
    std::string group;
    duration deadline = milliseconds(1000);
    double minimum_coverage = 0.0; ///< Fraction of the shards that an answer must cover, from 0 to 1.
    bool idempotent = true;
    request_class cls = request_class::interactive;
    /// Hedges and retries as a percentage of first attempts; 0 disables hedging.
    double hedge_budget_percent = 5.0;
    friend bool operator==(const service&, const service&) = default;
};

/// Share of one caller in the capacity of a group.
struct caller_share {
    std::string caller;
    std::uint32_t weight = 1;        ///< Weight in the fair queue; at least 1.
    double floor = 0.0;              ///< Fraction of the group's slots reserved for this caller, from 0 to 1.
    std::uint32_t max_in_flight = 0; ///< Maximum number of concurrent queries; 0 means no limit.
    friend bool operator==(const caller_share&, const caller_share&) = default;
};

struct sharing_rule {
    std::string name;
    std::string group;
    std::vector<caller_share> callers;
    friend bool operator==(const sharing_rule&, const sharing_rule&) = default;
};

/// Invariant: every reference between objects resolves, and names are unique within a kind.
struct configuration {
    generation_id generation = 0; ///< Generation number; 0 before the first configuration is accepted.
    std::map<std::string, availability_zone, std::less<>> zones;
    std::map<std::string, upstream_group, std::less<>> groups;
    std::map<std::string, service, std::less<>> services;
    std::map<std::string, sharing_rule, std::less<>> rules; ///< Sharing rules by name; at most one per group.
    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Whether a searcher may receive new work: neither the searcher nor its zone is out of service.
[[nodiscard]] bool takes_new_work(const configuration& config, const searcher& it);

} // namespace skylarkseam
