// Queue of one searcher: shares by weight, floors and classes. Guards against starvation of a caller by
// another caller's load.
#include "../support/sharing_experiment.hpp"

#include <skylarkseam/core/fair_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

/// Serves one item at a time from callers that always have queued items. Returns the slot time of each
/// caller.
std::map<std::string, double>
serve_backlogged_callers(fair_queue& queue, const std::map<std::string, duration>& costs, int request_count) {
    std::map<std::string, double> slot_time_us;
    for (int n = 0; n < request_count; ++n) {
        for (const auto& [caller, cost] : costs) {
            while (queue.queued_of(caller) < 2) {
                queue.push(caller, request_class::interactive, 0);
            }
        }
        const auto next = queue.pop(1, 1);
        BOOST_TEST_REQUIRE(next.has_value());
        const auto cost = costs.at(next->caller->name);
        slot_time_us[next->caller->name] += static_cast<double>(cost.count());
        queue.on_finished(next->caller, next->charged, cost);
    }
    return slot_time_us;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_fair_queue)

BOOST_AUTO_TEST_CASE(shares_slot_time_by_weight_independent_of_request_cost) {
    fair_queue queue;
    const sharing_rule rule{"shares", "alerts", {{"cheap", 1, 0.0, 0}, {"dear", 3, 0.0, 0}}};
    queue.set_rule(&rule);
    const auto slot_time_us =
        serve_backlogged_callers(queue, {{"cheap", milliseconds(2)}, {"dear", milliseconds(50)}}, 20000);
    const double share = slot_time_us.at("dear") / (slot_time_us.at("dear") + slot_time_us.at("cheap"));
    BOOST_TEST(share > 0.75 * 0.95);
    BOOST_TEST(share < 0.75 * 1.05);
}

BOOST_AUTO_TEST_CASE(reserves_the_floors_of_idle_callers) {
    fair_queue queue;
    const sharing_rule rule{
        "shares", "alerts", {{"flooder", 1, 0.0, 0}, {"a", 1, 0.25, 0}, {"b", 1, 0.25, 0}}};
    queue.set_rule(&rule);
    for (fair_queue::item n = 0; n < 8; ++n) {
        queue.push("flooder", request_class::urgent, n);
    }
    BOOST_TEST(queue.pop(4, 4).has_value());
    BOOST_TEST(queue.pop(3, 4).has_value());
    BOOST_TEST(!queue.pop(2, 4).has_value());
    queue.push("a", request_class::deferrable, 8);
    queue.push("b", request_class::deferrable, 9);
    const std::set<std::string> served{queue.pop(2, 4).value().caller->name,
                                       queue.pop(1, 4).value().caller->name};
    BOOST_TEST((served == std::set<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(lets_a_caller_below_its_floor_use_slots_reserved_by_the_other_floors) {
    fair_queue queue;
    sharing_rule rule{"shares", "alerts", {}};
    for (const auto* name : {"a", "b", "c", "d"}) {
        rule.callers.push_back({name, 1, 0.125, 0}); // Half of a slot for each caller, of four slots.
    }
    queue.set_rule(&rule);
    queue.push("a", request_class::interactive, 0);
    queue.push("b", request_class::interactive, 1);
    BOOST_TEST(queue.pop(2, 4).has_value());
    BOOST_TEST(queue.pop(1, 4).has_value());
}

BOOST_AUTO_TEST_CASE(serves_urgent_items_first_but_gives_deferrable_items_their_minimum_share) {
    fair_queue queue;
    int deferrable = 0;
    constexpr int request_count = 1000;
    constexpr fair_queue::item deferrable_item = 1;
    for (int n = 0; n < request_count; ++n) {
        queue.push("crew", request_class::urgent, 0);
        queue.push("crew", request_class::deferrable, deferrable_item);
        const auto next = queue.pop(1, 1);
        deferrable += next->index == deferrable_item ? 1 : 0;
        queue.on_finished(next->caller, next->charged, milliseconds(1));
    }
    BOOST_TEST(deferrable >= request_count / 25);
    BOOST_TEST(deferrable <= request_count / 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_a_flooding_caller)

// Deployment size of the user Consorzio: four slots per searcher.
BOOST_AUTO_TEST_CASE(p99_of_other_callers_rises_by_at_most_ten_percent_with_four_slots) {
    sharing_settings settings;
    settings.reserved_slots = 2;
    const auto baseline = sharing_experiment(settings).run();
    settings.flood = 2.0;
    const auto flooded = sharing_experiment(settings).run();
    BOOST_TEST(flooded.p99.count() * 10 <= baseline.p99.count() * 11);
    BOOST_TEST(flooded.steady_refused_fraction == 0.0);
    BOOST_TEST(flooded.flooder_refused_fraction > 0.0);
}

// Deployment size of the user Malabar: two slots per searcher.
BOOST_AUTO_TEST_CASE(p99_of_other_callers_rises_by_at_most_ten_percent_with_two_slots) {
    for (const std::uint32_t callers : {10U, 25U}) {
        sharing_settings settings;
        settings.callers = callers;
        settings.slots = 2;
        settings.reserved_slots = 1;
        const auto baseline = sharing_experiment(settings).run();
        settings.flood = 2.0;
        const auto flooded = sharing_experiment(settings).run();
        BOOST_TEST(flooded.p99 <= baseline.p99 * 11 / 10, callers << " callers: " << baseline.p99.count()
                                                                  << " us without, " << flooded.p99.count()
                                                                  << " us with a flooding caller");
    }
}

BOOST_AUTO_TEST_CASE(shares_are_within_five_percent_of_the_rule_when_all_callers_flood) {
    sharing_settings settings;
    settings.slots = 2;
    settings.callers = 5;
    settings.reserved_slots = 0;
    settings.flood = 0.5;
    settings.all_flood = true;
    settings.weights = {1, 2, 3, 1, 2};
    const auto it = sharing_experiment(settings).run();
    for (std::size_t n = 0; n < settings.weights.size(); ++n) {
        const double expected_share = settings.weights[n] / 9.0;
        BOOST_TEST(it.shares[n] >= expected_share * 0.95);
        BOOST_TEST(it.shares[n] <= expected_share * 1.05);
    }
}

BOOST_AUTO_TEST_SUITE_END()
