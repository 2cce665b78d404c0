// Experiment on tail latency versus extra load: one coordinator scatters queries over many shards, and random
// replies are stragglers.
#pragma once

#include "virtual_cluster.hpp"

#include <algorithm>

namespace skylarkseam::testing {

struct tail_settings {
    std::uint32_t fan_out = 100;
    std::uint32_t replicas = 3;
    std::uint32_t nodes = 8;
    std::uint32_t queries = 1000;
    duration interval = milliseconds(20); ///< Interval between queries.
    duration deadline = milliseconds(1000);
    double budget_percent = 5.0; ///< Extra-load budget in percent; 0 disables hedging.
    double straggler_probability = 0.01;
    int straggler_factor = 20;
    std::uint64_t seed = 1;
};

struct tail_result {
    duration p50{};
    duration p99{};
    double coverage = 0.0;      ///< Mean coverage of the queries.
    double extra_percent = 0.0; ///< Searcher requests in excess of one per shard and query, in percent.
};

inline duration quantile_of(std::vector<duration>& all, double q) {
    if (all.empty()) {
        return {};
    }
    std::sort(all.begin(), all.end());
    return all[static_cast<std::size_t>(q * static_cast<double>(all.size() - 1))];
}

/// Creates a configuration in which each shard has `replicas` searchers of its own, and assigns the searchers
/// to the owners round-robin.
inline std::shared_ptr<configuration> tail_configuration(const tail_settings& settings, ownership& owners) {
    auto config = std::make_shared<configuration>();
    config->generation = 1;
    config->zones["kochi"] = {"kochi", service_state::in};
    upstream_group group;
    group.name = "alerts";
    group.slots = 4;
    group.connections = 25;
    for (std::uint32_t n = 0; n < settings.fan_out * settings.replicas; ++n) {
        const auto name = "s" + std::to_string(n);
        group.searchers.push_back(
            {name, "127.0.0.1:" + std::to_string(n), "kochi", {n / settings.replicas}, {}});
        owners.owner_of[name] = "node" + std::to_string(n % settings.nodes);
    }
    config->groups["alerts"] = std::move(group);
    service search;
    search.name = "search";
    search.group = "alerts";
    search.deadline = settings.deadline;
    search.hedge_budget_percent = settings.budget_percent;
    config->services["search"] = search;
    return config;
}

inline tail_result run_tail(const tail_settings& settings) {
    virtual_cluster cluster(settings.nodes, settings.seed);
    auto owners = std::make_shared<ownership>();
    const auto config = tail_configuration(settings, *owners);
    std::uint64_t requests = 0;
    cluster.respond = [&](const auto& sent, auto) -> std::vector<timed_answer> {
        ++requests;
        const auto usual = milliseconds(4) + cluster.exponential(milliseconds(1));
        const bool straggles = cluster.uniform() < settings.straggler_probability;
        return {{straggles ? usual * settings.straggler_factor : usual, good_answer(sent)}};
    };
    cluster.health = [&](const auto& name, auto) {
        const auto shard = static_cast<shard_id>(std::stoul(name.substr(1))) / settings.replicas;
        return upstream_health{true, upstream_state::warm, "boot-1", {{shard, {5}}}};
    };
    cluster.set_configuration(config);
    cluster.set_ownership(owners, true);
    cluster.run_until(cluster.now + milliseconds(100));
    std::vector<duration> latencies;
    double coverage = 0.0;
    for (std::uint32_t n = 0; n < settings.queries; ++n) {
        cluster.after(settings.interval * n, [&] {
            query_request request;
            request.caller = "crew";
            request.service = "search";
            request.query_json = "{}";
            const auto began = cluster.now;
            cluster.submit(0, request, [&, began](const auto& it) {
                latencies.push_back(cluster.now - began);
                coverage += it.answer ? it.answer.value().covered.fraction() : 0.0;
            });
        });
    }
    cluster.run_until(cluster.now + settings.interval * settings.queries + settings.deadline * 2);
    tail_result result;
    result.p50 = quantile_of(latencies, 0.5);
    result.p99 = quantile_of(latencies, 0.99);
    result.coverage = coverage / settings.queries;
    const auto first = static_cast<double>(settings.fan_out) * settings.queries;
    result.extra_percent = 100.0 * (static_cast<double>(requests) - first) / first;
    return result;
}

} // namespace skylarkseam::testing
