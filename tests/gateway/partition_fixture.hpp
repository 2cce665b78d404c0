// Hosts of three zones under a steady load, some of which lose their links to the searchers, and how the
// clients of each kind are served.
#pragma once

#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

namespace skylarkseam::testing {

inline constexpr duration time_to_adapt =
    seconds(5); ///< Time from the cut after which clients have to be served.
inline constexpr duration cut_time = seconds(12);

struct tries {
    std::size_t asked = 0;
    std::size_t served = 0;

    [[nodiscard]] double share() const {
        return asked == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(asked);
    }
};

struct partition_fixture {
    gateway_world world;
    std::set<std::uint32_t> cut;
    time_point cut_at{};
    duration adapted_after = time_to_adapt;

    partition_fixture()
        : partition_fixture(8) {}

    explicit partition_fixture(std::uint32_t hosts)
        : world(hosts) {
        std::vector<std::string> names;
        for (int n = 0; n < 10; ++n) {
            names.push_back("shard-" + std::to_string(n));
            world.add_service(names.back(), 4, {"a", "b", "c"});
        }
        world.add_service("desk", 4, {"a", "a", "a", "b", "b", "b", "c", "c", "c"}, 110);
        world.add_route(shard_route(names, 0.89));
        world.add_route(single_route("desk", repeatability::at_most_once));
        world.publish();
    }

    /// Adds a route to a service whose searcher never answers.
    void add_silent_service() {
        world.add_service("silent", 4, {"c"});
        auto route = single_route("silent", repeatability::idempotent);
        route.name = "silent";
        route.prefix = "/silent/";
        route.max_attempts = 1;
        world.add_route(route);
        world.publish();
        world.at("silent").behaviour.unreachable = true;
    }

    void begin_load() {
        world.load("/search/x", 180.0, seconds(20));
        world.load("/audit/x", 45.0, seconds(20));
    }

    void cut_links(const std::set<std::uint32_t>& hosts, upstream_links state) {
        for (const auto host : hosts) {
            world.links[host] = state;
        }
    }

    /// Cuts the hosts off for a time while clients ask all hosts.
    void play(const std::set<std::uint32_t>& hosts, upstream_links state) {
        cut = hosts;
        begin_load();
        world.run_for(seconds(3));
        cut_at = world.now;
        cut_links(hosts, state);
        world.after(cut_time, [this] { world.links.clear(); });
        world.run_for(seconds(25));
    }

    /// Cuts most hosts off, and those of zone a later while the others still are.
    void play_overlap(const std::set<std::uint32_t>& most) {
        begin_load();
        world.run_for(seconds(3));
        cut_links(most, upstream_links::hanging);
        world.run_for(seconds(8));
        cut = {0, 3, 6};
        cut_links(cut, upstream_links::refused);
        cut_at = world.now;
        world.after(cut_time, [this] { world.links.clear(); });
        world.run_for(seconds(14));
    }

    /// First tries that arrived while the hosts were cut off and had had time to adapt.
    [[nodiscard]] tries at(bool at_cut_hosts) const {
        tries out;
        for (const auto& it : world.results) {
            const auto arrived = it.answered - it.latency;
            if (it.path.starts_with("/silent/")) {
                continue;
            }
            if (cut.contains(it.host) == at_cut_hosts && arrived >= cut_at + adapted_after &&
                arrived < cut_at + cut_time) {
                ++out.asked;
                out.served += it.status == 200 ? 1 : 0;
            }
        }
        return out;
    }

    void check() {
        const auto there = at(true);
        const auto elsewhere = at(false);
        BOOST_TEST(there.asked > 50U);
        BOOST_TEST(elsewhere.share() > 0.95);
        BOOST_TEST(there.share() >= elsewhere.share() * 2 / 3);
        const auto failed = there.asked - there.served;
        BOOST_TEST(failed <= 10 + there.asked / 50);
    }
};

} // namespace skylarkseam::testing
