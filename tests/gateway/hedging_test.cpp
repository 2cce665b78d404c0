// Queries over many shards whose searchers pause in turn, on hosts that see few requests each. Such a host
// cannot know which searchers pause, so that most queries meet one, and each zone has only one searcher of a
// shard: the others are in other regions. A query is whole in time only if the hedged request is sent early
// enough.
#include "gateway_world.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr std::size_t shard_count = 36;

struct pausing_world {
    gateway_world world;

    explicit pausing_world(std::uint32_t hosts)
        : world(hosts) {
        world.work = milliseconds(30); // As measured by a host with a small share of a core.
        std::vector<std::string> services;
        for (std::size_t n = 0; n < shard_count; ++n) {
            services.push_back("s" + std::to_string(n));
            world.add_service(services.back(), 4, {"a", "b", "c"}, 76);
            for (std::size_t copy = 0; copy < 3; ++copy) {
                auto& it = world.at(services.back(), copy).behaviour;
                it.pause = milliseconds(250);
                it.pause_every = seconds(6);
                it.pause_offset = milliseconds(997 * n + 2111 * copy);
            }
        }
        auto route = shard_route(services, 0.95);
        route.objective = milliseconds(200);
        world.add_route(route);
        world.publish();
    }

    [[nodiscard]] double share_whole_in_time() const {
        const auto n = std::count_if(world.results.begin(), world.results.end(), [](const auto& it) {
            return it.status == 200 && it.missing == 0 && it.latency <= milliseconds(200);
        });
        return static_cast<double>(n) / static_cast<double>(world.results.size());
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(queries_whose_searchers_pause_in_turn)

BOOST_DATA_TEST_CASE(are_whole_in_time_while_there_is_capacity, boost::unit_test::data::make({8U, 90U}),
                     hosts) {
    pausing_world it(hosts);
    it.world.load("/search/x", 60.0, seconds(14));
    it.world.run_for(seconds(4));
    it.world.results.clear();
    it.world.extra_arrivals = 0;
    it.world.run_for(seconds(10));
    const auto queries = static_cast<double>(it.world.results.size());
    BOOST_TEST_MESSAGE("whole in time "
                       << it.share_whole_in_time() << ", extra arrivals of a part "
                       << static_cast<double>(it.world.extra_arrivals) / queries / shard_count);
    BOOST_TEST(it.share_whole_in_time() > 0.9);
    // The users' budget for extra requests is a fifth of the requests.
    BOOST_TEST(static_cast<double>(it.world.extra_arrivals) < 0.2 * queries * shard_count);
}

BOOST_AUTO_TEST_CASE(are_whole_in_time_although_most_second_attempts_open_a_connection) {
    // A host sees less than a query a second, so that its connections to other regions are seldom open.
    pausing_world it(90);
    it.world.work = milliseconds(15);
    it.world.handshake_time = milliseconds(7);
    it.world.load("/search/x", 60.0, seconds(24));
    it.world.run_for(seconds(9));
    it.world.results.clear();
    it.world.run_for(seconds(15));
    BOOST_TEST_MESSAGE("whole in time " << it.share_whole_in_time());
    BOOST_TEST(it.share_whole_in_time() > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_searcher_that_has_paused_once)

BOOST_AUTO_TEST_CASE(gets_little_more_time_than_others_before_a_second_attempt) {
    gateway_world world{std::vector<std::string>{"a"}};
    world.work = milliseconds(15);
    world.add_service("near", 4, {"a", "b"});
    world.add_service("other", 4, {"a", "b"});
    world.add_route(shard_route({"near", "other"}));
    world.publish();
    for (int n = 0; n < 60; ++n) {
        world.send_request("/search/x");
        world.run_for(milliseconds(100));
    }
    auto& near = world.at("near", 0).behaviour;
    near.pause = milliseconds(100);
    near.pause_every = seconds(1000);
    near.pause_offset = -world.now.time_since_epoch(); // It pauses now, once.
    world.send_request("/search/x");
    world.run_for(milliseconds(300));
    near.unreachable = true;
    const auto sent = world.now;
    world.send_request("/search/x");
    world.run_for(milliseconds(200));
    const auto second = world.at("near", 1).arrival_log.back().when - gateway_world::cross_region - sent;
    BOOST_TEST((second > milliseconds(20)));
    BOOST_TEST((second < milliseconds(45)), second.count() << " us");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_distant_searcher)

BOOST_AUTO_TEST_CASE(does_not_look_slow_because_connections_to_it_have_to_be_opened) {
    gateway_world world{std::vector<std::string>{"a"}};
    world.work = milliseconds(15);
    world.handshake_time = milliseconds(7);
    world.connection_idle_time = milliseconds(100); // So that each request opens a connection.
    world.add_service("near", 4, {"a"});
    world.add_service("distant", 4, {"b"});
    world.add_route(shard_route({"near", "distant"}));
    world.publish();
    for (int n = 0; n < 100; ++n) {
        world.send_request("/search/x");
        world.run_for(milliseconds(200));
    }
    const auto& known = world.hosts[0]->searchers().of_service("distant").front();
    BOOST_TEST(known->slowness < 1.5);
    BOOST_TEST(known->slowness > 0.7);
}

BOOST_AUTO_TEST_SUITE_END()
