// Prints the most that one owner for the searchers of a zone could gain over shares: the same loads served by
// three gateways in each zone, of which each sees its own requests only, and by one in each zone, which sees
// all of the zone's and pays no hop for it. In virtual time, at the users' sizes.
#include <iomanip>
#include <iostream>
#include <tests/gateway/gateway_world.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr std::uint32_t connections = 36;
constexpr double min_share = 0.89;
constexpr double per_second = 216.0; ///< over all hosts: ingredient lookups and reorder hints on a busy day

struct load_case {
    const char* name;
    void (*prepare)(gateway_world& world);
};

void pause_all(gateway_world& world) {
    std::int64_t n = 0;
    for (auto& [name, list] : world.searchers) {
        for (auto& it : list) {
            it->behaviour.pause = milliseconds(300);
            it->behaviour.pause_every = milliseconds(7500);
            it->behaviour.pause_offset = milliseconds(n++ * 1234);
        }
    }
}

template <typename Change>
void change_some(gateway_world& world, std::size_t every, Change change) {
    std::size_t n = 0;
    for (auto& [name, list] : world.searchers) {
        for (auto& it : list) {
            if (n++ % every == 0) {
                change(it->behaviour);
            }
        }
    }
}

const load_case cases[] = {
    {"pauses in turn", &pause_all},
    {"pauses, 1 in 7 slow 8 times",
     [](gateway_world& world) {
         pause_all(world);
         change_some(world, 7, [](auto& it) { it.slowdown = 8.0; });
     }},
    {"pauses, 1 in 7 dark",
     [](gateway_world& world) {
         pause_all(world);
         change_some(world, 7, [](auto& it) { it.unreachable = true; });
     }},
    {"pauses, 1 in 2 sheds 60 %",
     [](gateway_world& world) {
         pause_all(world);
         change_some(world, 2, [](auto& it) { it.refused_share = 0.6; });
     }},
};

struct outcome {
    double in_aim = 0.0;
    double whole_in_aim = 0.0;
    double extra = 0.0; ///< attempts beyond the first, of all first ones
};

outcome play(const std::vector<std::string>& host_zones, const load_case& load, std::uint64_t seed) {
    gateway_world world(host_zones, seed);
    std::vector<std::string> shards;
    for (int n = 0; n < 10; ++n) {
        shards.push_back("shard" + std::to_string(n));
        world.add_service(shards.back(), 4, {"a", "b", "c"}, connections);
    }
    const auto route = shard_route(shards, min_share);
    world.add_route(route);
    world.publish();
    load.prepare(world);
    world.load("/search/x", per_second, seconds(20));
    world.run_for(seconds(22));
    outcome out;
    for (const auto& it : world.results) {
        const bool in_aim = it.status == 200 && it.latency <= route.objective;
        out.in_aim += in_aim ? 1.0 : 0.0;
        out.whole_in_aim += in_aim && it.missing == 0 ? 1.0 : 0.0;
    }
    const auto asked = static_cast<double>(world.results.size());
    return {out.in_aim / asked, out.whole_in_aim / asked,
            static_cast<double>(world.extra_arrivals) / (asked * static_cast<double>(shards.size()))};
}

void print(const load_case& load) {
    constexpr std::uint64_t seeds = 3;
    for (const std::size_t hosts_of_zone : {3U, 1U}) {
        std::vector<std::string> zones;
        for (const auto* const zone : {"a", "b", "c"}) {
            zones.insert(zones.end(), hosts_of_zone, zone);
        }
        outcome sum;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto it = play(zones, load, seed);
            sum.in_aim += it.in_aim / seeds;
            sum.whole_in_aim += it.whole_in_aim / seeds;
            sum.extra += it.extra / seeds;
        }
        std::cout << std::setw(30) << load.name << std::setw(8) << hosts_of_zone << std::fixed
                  << std::setprecision(4) << std::setw(10) << sum.in_aim << std::setw(10) << sum.whole_in_aim
                  << std::setw(10) << sum.extra << std::endl;
    }
}

} // namespace

int main() {
    std::cout << std::setw(30) << "load" << std::setw(8) << "hosts" << std::setw(10) << "in_aim"
              << std::setw(10) << "whole" << std::setw(10) << "extra" << std::endl;
    for (const auto& it : cases) {
        print(it);
    }
}
