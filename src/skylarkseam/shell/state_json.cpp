#include <skylarkseam/shell/state_json.hpp>

#include <nlohmann/json.hpp>

namespace skylarkseam {
namespace {

using nlohmann::json;

json view_of(const owned_searcher_view& it) {
    return {
        {"searcher", it.searcher},     {"group", it.group},
        {"takes_work", it.takes_work}, {"cold", it.cold},
        {"slots_now", it.slots_now},   {"slots_full", it.slots_full},
        {"in_flight", it.in_flight},   {"queued", it.queued},
        {"boot_id", it.boot_id},       {"last_reason", it.last_reason},
    };
}

} // namespace

std::string state_json(const configuration& config) {
    const json out{
        {"generation", config.generation},         {"availability_zones", config.zones.size()},
        {"upstream_groups", config.groups.size()}, {"services", config.services.size()},
        {"sharing_rules", config.rules.size()},
    };
    return out.dump();
}

std::string state_json(const ownership& owners, const std::string& self) {
    json members = json::array();
    for (const auto& it : owners.members) {
        members.push_back({
            {"node", it.node},
            {"incarnation", it.incarnation},
            {"availability_zone", it.zone},
            {"peer_address", it.peer_address},
        });
    }
    json owned = json::array();
    for (const auto& [searcher, node] : owners.owner_of) {
        if (node == self) {
            owned.push_back(searcher);
        }
    }
    const json out{{"epoch", owners.epoch}, {"members", members}, {"owned", owned}};
    return out.dump();
}

std::string state_json(const coordinator& queries) {
    const auto& it = queries.counters();
    const json out{
        {"open", queries.open_queries()},
        {"queries", it.queries},
        {"answered_whole", it.answered_whole},
        {"answered_partial", it.answered_partial},
        {"refused", it.refused},
        {"first_attempts", it.first_attempts},
        {"hedges", it.hedges},
        {"retries", it.retries},
        {"replies_dropped", it.replies_dropped},
        {"replans", it.replans},
    };
    return out.dump();
}

std::string state_json(const owner& searchers) {
    json list = json::array();
    for (const auto& it : searchers.view()) {
        list.push_back(view_of(it));
    }
    const json out{{"in_flight", searchers.in_flight()}, {"searchers", list}};
    return out.dump();
}

} // namespace skylarkseam
