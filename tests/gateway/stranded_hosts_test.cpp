// Tests that clients of hosts which are partitioned from all searchers are served, through the other hosts.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr duration time_to_adapt = seconds(5); ///< Time from the cut after which clients have to be served.
constexpr duration cut_time = seconds(12);

struct tries {
    std::size_t asked = 0;
    std::size_t served = 0;

    [[nodiscard]] double share() const {
        return asked == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(asked);
    }
};

struct partition_fixture {
    gateway_world world{8};
    std::set<std::uint32_t> cut;
    time_point cut_at{};
    duration adapted_after = time_to_adapt;

    partition_fixture() {
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

    /// Cuts the hosts off for a time while clients ask all hosts.
    void play(const std::set<std::uint32_t>& hosts, upstream_links state) {
        cut = hosts;
        world.load("/search/x", 180.0, seconds(20));
        world.load("/audit/x", 45.0, seconds(20));
        world.run_for(seconds(3));
        cut_at = world.now;
        for (const auto host : hosts) {
            world.links[host] = state;
        }
        world.after(cut_time, [this] { world.links.clear(); });
        world.run_for(seconds(25));
    }

    /// First tries that arrived while the hosts were cut off and had had time to adapt.
    [[nodiscard]] tries at(bool at_cut_hosts) const {
        tries out;
        for (const auto& it : world.results) {
            const auto arrived = it.answered - it.latency;
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

} // namespace

BOOST_FIXTURE_TEST_SUITE(clients_of_hosts_without_a_searcher, partition_fixture,
                         *boost::unit_test::label("known_red") * boost::unit_test::disabled())

BOOST_AUTO_TEST_CASE(are_served_far_worse_if_most_hosts_hang) {
    play({0, 1, 3, 4, 6}, upstream_links::hanging);
    check();
}

BOOST_AUTO_TEST_CASE(are_served_far_worse_if_most_hosts_are_refused) {
    play({0, 1, 3, 4, 6}, upstream_links::refused);
    check();
}

BOOST_AUTO_TEST_CASE(are_served_far_worse_if_a_zone_hangs) {
    play({0, 3, 6}, upstream_links::hanging);
    check();
}

BOOST_AUTO_TEST_CASE(are_served_far_worse_if_a_zone_is_refused) {
    play({0, 3, 6}, upstream_links::refused);
    check();
}

BOOST_AUTO_TEST_SUITE_END()
