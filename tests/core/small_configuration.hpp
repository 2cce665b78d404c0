// A small configuration for tests: one group whose searchers each hold all shards, an idempotent and a
// non-idempotent service, and one or more nodes that own the searchers.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/core/ownership.hpp>

#include <memory>

namespace skylarkseam::testing {

struct layout {
    std::uint32_t shards = 3;
    std::uint32_t replicas = 2; ///< Number of searchers; each holds all shards.
    std::uint32_t slots = 4;
    std::uint32_t owners = 1;
};

inline std::string searcher_name(std::uint32_t n) {
    return "s" + std::to_string(n);
}
inline std::string owner_name(std::uint32_t n) {
    return "node" + std::to_string(n);
}

inline std::shared_ptr<configuration> make_configuration(const layout& shape) {
    auto config = std::make_shared<configuration>();
    config->generation = 1;
    config->zones["kochi"] = {"kochi", service_state::in};
    upstream_group group;
    group.name = "alerts";
    group.slots = shape.slots;
    group.connections = shape.slots + 4;
    for (std::uint32_t n = 0; n < shape.replicas; ++n) {
        searcher it{
            searcher_name(n), "127.0.0.1:" + std::to_string(7000 + n), "kochi", {}, service_state::in};
        for (shard_id shard = 0; shard < shape.shards; ++shard) {
            it.shards.push_back(shard);
        }
        group.searchers.push_back(std::move(it));
    }
    config->groups["alerts"] = std::move(group);
    service search;
    search.name = "search";
    search.group = "alerts";
    search.deadline = milliseconds(200);
    config->services["search"] = search;
    service billing = search;
    billing.name = "billing";
    billing.idempotent = false;
    config->services["billing"] = billing;
    return config;
}

inline std::shared_ptr<ownership> make_ownership(const layout& shape) {
    auto owners = std::make_shared<ownership>();
    owners->epoch = 1;
    for (std::uint32_t n = 0; n < shape.owners; ++n) {
        owners->members.push_back({owner_name(n), 1, "kochi", "kerala", "127.0.0.1:1"});
    }
    for (std::uint32_t n = 0; n < shape.replicas; ++n) {
        owners->owner_of[searcher_name(n)] = owner_name(n % shape.owners);
    }
    return owners;
}

} // namespace skylarkseam::testing
