// The estimate of a route's latency at a searcher.
#include <skylarkseam/gateway/latency_estimate.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace skylarkseam;

BOOST_AUTO_TEST_SUITE(the_typical_latency_of_a_route)

BOOST_AUTO_TEST_CASE(does_not_depend_on_the_order_in_which_the_parts_of_a_query_arrive) {
    // The 36 parts of each query take 1 to 36 ms, and the fastest arrive first.
    latency_estimate estimate(milliseconds(40));
    time_point now{seconds(100)};
    for (int query = 0; query < 20; ++query) {
        for (int part = 1; part <= 36; ++part) {
            estimate.add(milliseconds(part), now += milliseconds(1));
        }
        if (query > 3) {
            BOOST_TEST(std::abs(to_ms(estimate.median()) - 18) <= 3);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_a_guess_until_there_are_a_few_samples) {
    latency_estimate estimate(milliseconds(40));
    const time_point now{seconds(100)};
    for (int n = 0; n < 4; ++n) {
        estimate.add(milliseconds(5), now);
        BOOST_TEST((estimate.median() == milliseconds(40)));
    }
    estimate.add(milliseconds(5), now);
    BOOST_TEST((estimate.median() == milliseconds(5)));
}

BOOST_AUTO_TEST_CASE(ignores_single_requests_that_meet_a_pause) {
    latency_estimate estimate(milliseconds(40));
    const time_point now{seconds(100)};
    for (int n = 0; n < 300; ++n) {
        estimate.add(n % 10 == 0 ? milliseconds(400) : milliseconds(10), now);
    }
    BOOST_TEST((estimate.median() == milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(follows_a_change_within_its_window) {
    latency_estimate estimate(milliseconds(40));
    const time_point now{seconds(100)};
    for (int n = 0; n < 300; ++n) {
        estimate.add(milliseconds(10), now);
    }
    for (int n = 0; n < 100; ++n) {
        estimate.add(milliseconds(80), now);
    }
    BOOST_TEST((estimate.median() == milliseconds(80)));
}

BOOST_AUTO_TEST_SUITE_END()
