// How long before its objective a query over shards is answered with the parts that are in.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr duration objective = milliseconds(200);

/// The last part of a query arrives 180 ms after the query.
struct late_part_fixture {
    gateway_world world{std::vector<std::string>{"a"}};

    late_part_fixture() {
        for (const auto* const name : {"s0", "s1", "s2", "late"}) {
            world.add_service(name, 4, {"a"});
        }
        auto route = shard_route({"s0", "s1", "s2", "late"}, 0.75);
        route.objective = objective;
        world.add_route(route);
        world.work = milliseconds(10);
        world.publish();
        auto& late = world.at("late").behaviour;
        late.pause = milliseconds(169);
        late.pause_every = seconds(1000);
        late.pause_offset = -world.now.time_since_epoch();
    }

    client_result ask(std::optional<duration> round_trip) {
        world.client_round_trip = round_trip;
        world.send_request("/search/x");
        world.run_for(milliseconds(400));
        return world.results.at(0);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_answer_to_a_query_that_lacks_a_part, late_part_fixture)

BOOST_AUTO_TEST_CASE(waits_for_it_if_the_client_is_near) {
    const auto result = ask(milliseconds(2));
    BOOST_TEST(result.missing == 0U);
    BOOST_TEST((result.latency < objective - milliseconds(4)));
}

BOOST_AUTO_TEST_CASE(is_given_earlier_if_the_client_is_far) {
    const auto result = ask(milliseconds(30));
    BOOST_TEST(result.missing == 1U);
    BOOST_TEST((result.latency <= objective - milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(is_given_earlier_if_the_way_to_the_client_is_not_known) {
    const auto result = ask(std::nullopt);
    BOOST_TEST(result.missing == 1U);
    BOOST_TEST((result.latency < objective - milliseconds(25)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_reserve_for_an_answer)

BOOST_AUTO_TEST_CASE(grows_with_the_lateness_of_the_hosts_timers) {
    answer_reserve reserve;
    const auto before = reserve.of(objective, milliseconds(2));
    BOOST_TEST((before < milliseconds(8)));
    const time_point now{seconds(100)};
    for (int n = 0; n < 64; ++n) {
        reserve.note_timer(now - milliseconds(20), now);
    }
    BOOST_TEST((reserve.of(objective, milliseconds(2)) == before + milliseconds(20)));
    for (int n = 0; n < 64; ++n) {
        reserve.note_timer(now, now);
    }
    BOOST_TEST((reserve.of(objective, milliseconds(2)) == before));
}

BOOST_AUTO_TEST_CASE(is_at_most_half_of_the_objective) {
    const answer_reserve reserve;
    BOOST_TEST((reserve.of(objective, seconds(3)) == objective / 2));
    BOOST_TEST((reserve.of(milliseconds(10), std::nullopt) == milliseconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()
