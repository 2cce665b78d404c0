// More is asked than the searchers can do, for longer than queues can bridge: as many as can be are answered
// in time, and the others are told early that they were not.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

// Five shards of three searchers with four slots, which take 100 ms: 120 queries a second are what they can
// do.
struct overload_fixture {
    static constexpr double capacity = 120.0;

    gateway_world world{3};
    gateway_route route;
    overload_fixture() {
        std::vector<std::string> shards;
        for (int n = 0; n < 5; ++n) {
            shards.push_back("shard" + std::to_string(n));
            world.add_service(shards.back(), 4, {"a", "b", "c"});
        }
        route = shard_route(shards, 0.8);
        route.objective = milliseconds(400);
        world.add_route(route);
        world.work = milliseconds(100);
        world.publish();
    }

    /// Plays the load until it is steady, and then for 10 s more, of which the results stay.
    void play(double factor) {
        world.load("/search/x", factor * capacity, seconds(15));
        world.run_for(seconds(5));
        world.results.clear();
        world.run_for(seconds(10));
    }

    [[nodiscard]] double in_aim_per_second() const {
        return static_cast<double>(std::count_if(
                   world.results.begin(), world.results.end(),
                   [&](const auto& it) { return it.status == 200 && it.latency <= route.objective; })) /
               10.0;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(under_more_load_than_can_be_served, overload_fixture)

BOOST_AUTO_TEST_CASE(nothing_is_turned_away_while_there_is_enough) {
    play(0.7);
    BOOST_TEST(in_aim_per_second() >= 0.7 * capacity * 0.99);
}

BOOST_AUTO_TEST_CASE(most_of_what_can_be_done_is_done_in_time) {
    for (const double factor : {1.2, 1.5, 2.0, 3.0}) {
        BOOST_TEST_CONTEXT(factor << " times what can be served") {
            overload_fixture it;
            it.play(factor);
            BOOST_TEST(it.in_aim_per_second() >= 0.7 * capacity);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_rest_is_told_early_and_truly_that_it_was_not_run) {
    play(2.0);
    for (const auto& it : world.results) {
        BOOST_TEST(it.status != 502);
        if (it.status == 503) {
            BOOST_TEST((it.latency <= route.objective / 4));
            BOOST_TEST((it.retry_after > duration::zero()));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_route_whose_work_is_longer_than_its_objective_keeps_its_searchers_busy) {
    world.work = milliseconds(500);
    play(0.5); // of what searchers would do in 100 ms: 2.5 times what they can do now
    const auto served = std::count_if(world.results.begin(), world.results.end(),
                                      [](const auto& it) { return it.status == 200; });
    BOOST_TEST(static_cast<double>(served) / 10.0 >= 0.7 * capacity / 5.0);
}

BOOST_AUTO_TEST_SUITE_END()
