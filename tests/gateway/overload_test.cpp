// Overload that lasts longer than queues can absorb. The gateway must answer as many requests in time as the
// searchers can handle, and must refuse the others early as not run.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

// Five shards with three searchers each. A searcher has four slots and takes 100 ms per request, so the
// capacity is 120 queries per second.
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

    /// Runs the load until it is steady, and then for another 10 s, whose results are kept.
    void run_load(double factor) {
        world.load("/search/x", factor * capacity, seconds(15));
        world.run_for(seconds(5));
        world.results.clear();
        world.run_for(seconds(10));
    }

    [[nodiscard]] double timely_answers_per_second() const {
        return static_cast<double>(std::count_if(
                   world.results.begin(), world.results.end(),
                   [&](const auto& it) { return it.status == 200 && it.latency <= route.objective; })) /
               10.0;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(under_overload, overload_fixture)

BOOST_AUTO_TEST_CASE(all_requests_succeed_below_capacity) {
    run_load(0.7);
    BOOST_TEST(timely_answers_per_second() >= 0.7 * capacity * 0.99);
}

BOOST_AUTO_TEST_CASE(most_of_the_capacity_yields_timely_answers) {
    for (const double factor : {1.2, 1.5, 2.0, 3.0}) {
        BOOST_TEST_CONTEXT(factor << " times the capacity") {
            overload_fixture it;
            it.run_load(factor);
            BOOST_TEST(it.timely_answers_per_second() >= 0.7 * capacity);
        }
    }
}

BOOST_AUTO_TEST_CASE(excess_requests_are_refused_early_and_have_not_run) {
    run_load(2.0);
    for (const auto& it : world.results) {
        BOOST_TEST(it.status != 502);
        if (it.status == 503) {
            BOOST_TEST((it.latency <= route.objective / 4));
            BOOST_TEST((it.retry_after > duration::zero()));
        }
    }
}

BOOST_AUTO_TEST_CASE(searchers_stay_busy_when_processing_takes_longer_than_the_objective) {
    world.work = milliseconds(500);
    run_load(0.5); // Half of the capacity at 100 ms per request, which is 2.5 times the capacity at 500 ms.
    const auto served = std::count_if(world.results.begin(), world.results.end(),
                                      [](const auto& it) { return it.status == 200; });
    BOOST_TEST(static_cast<double>(served) / 10.0 >= 0.7 * capacity / 5.0);
}

BOOST_AUTO_TEST_SUITE_END()
