// The declarative configuration as the core uses it: checked, complete, and of one generation.
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
using snapshot_id = std::uint64_t;   ///< an index version; a larger one is newer, 0 stands for none
using generation_id = std::uint64_t; ///< of the configuration; only rises

/// Whether operators let an upstream or an availability zone take new work.
enum class service_state { in, out };

/// The order of preference between requests; an earlier one goes first, none starves.
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
    std::string name;    ///< unique over all groups
    std::string address; ///< ip:port
    std::string zone;
    std::vector<shard_id> shards; ///< ascending, not empty
    service_state state = service_state::in;
    friend bool operator==(const searcher&, const searcher&) = default;
};

/// How a cold searcher is brought back to its full slots.
struct cold_start {
    std::uint32_t slots = 1; ///< what a cold searcher bears; 1 or more, at most the group's slots
    std::uint32_t step = 1;  ///< slots added for each interval without a new cold sign
    duration interval = seconds(1);
    friend bool operator==(const cold_start&, const cold_start&) = default;
};

struct upstream_group {
    std::string name;
    std::vector<searcher> searchers;
    std::uint32_t slots = 1;       ///< requests that a warm searcher runs at a time
    std::uint32_t connections = 1; ///< connections that a searcher accepts; at least slots
    cold_start cold;
    friend bool operator==(const upstream_group&, const upstream_group&) = default;
};

struct service {
    std::string name;
    std::string group;
    duration deadline = milliseconds(1000);
    double minimum_coverage = 0.0; ///< 0 to 1
    bool idempotent = true;
    request_class cls = request_class::interactive;
    double hedge_budget_percent = 5.0; ///< extra subqueries, of all first ones; 0 switches hedging off
    friend bool operator==(const service&, const service&) = default;
};

/// One caller's part in a group.
struct caller_share {
    std::string caller;
    std::uint32_t weight = 1;        ///< 1 or more
    double floor = 0.0;              ///< part of the group's slots kept for this caller, 0 to 1
    std::uint32_t max_in_flight = 0; ///< queries at a time; 0 for no limit
    friend bool operator==(const caller_share&, const caller_share&) = default;
};

struct sharing_rule {
    std::string name;
    std::string group;
    std::vector<caller_share> callers;
    friend bool operator==(const sharing_rule&, const sharing_rule&) = default;
};

/// Invariant: every reference between the objects resolves, and names are unique within a kind.
struct configuration {
    generation_id generation = 0; ///< 0 before any configuration was accepted
    std::map<std::string, availability_zone, std::less<>> zones;
    std::map<std::string, upstream_group, std::less<>> groups;
    std::map<std::string, service, std::less<>> services;
    std::map<std::string, sharing_rule, std::less<>> rules; ///< at most one for a group
    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Whether new work may go to a searcher: neither it nor its zone was taken out.
[[nodiscard]] bool takes_new_work(const configuration& config, const searcher& it);

} // namespace skylarkseam
