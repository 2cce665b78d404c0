// Checks the design targets for tail latency, extra load and coverage on a cluster small enough for a fast
// test.
#include "../support/tail_experiment.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

BOOST_AUTO_TEST_SUITE(with_one_percent_of_replies_twenty_times_slower)

BOOST_AUTO_TEST_CASE(hedging_cuts_the_p99_fourfold_for_at_most_five_percent_extra_load) {
    tail_settings settings;
    settings.queries = 300;
    const auto hedged = run_tail(settings);
    settings.budget_percent = 0.0;
    const auto baseline = run_tail(settings);
    BOOST_TEST(hedged.p99.count() * 4 <= baseline.p99.count());
    BOOST_TEST(hedged.extra_percent <= 5.0);
    BOOST_TEST(baseline.extra_percent == 0.0);
}

BOOST_AUTO_TEST_CASE(hedging_keeps_coverage_at_a_deadline_that_stragglers_miss) {
    tail_settings settings;
    settings.queries = 300;
    settings.deadline = milliseconds(60);
    const auto hedged = run_tail(settings);
    settings.budget_percent = 0.0;
    const auto baseline = run_tail(settings);
    BOOST_TEST(hedged.coverage >= 0.999);
    BOOST_TEST(baseline.coverage < 0.999);
}

BOOST_AUTO_TEST_SUITE_END()
