// A cell under crashes, pauses, partitions and platform faults: who may dispatch, and how soon service
// returns.
#include "cell_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylarkseam;
using namespace skylarkseam::simulation;

namespace {

constexpr duration settle = seconds(4);
constexpr duration service_bound = seconds(5);
constexpr duration lease = cell_timing{}.lease;

cell_options with(std::size_t nodes, std::uint64_t seed) {
    cell_options options;
    options.nodes = nodes;
    options.seed = seed;
    return options;
}

void require_clean(const cell_simulation& sim, std::uint64_t seed) {
    BOOST_TEST(sim.violations.empty(),
               "seed " << seed << ": " << sim.violations.size()
                       << " violations, first: " << (sim.violations.empty() ? "" : sim.violations.front()));
    BOOST_TEST(std::ranges::is_sorted(sim.platform.epochs), "seed " << seed << ": an epoch fell");
}

bool may_dispatch(const cell_simulation& sim, std::size_t it) {
    return sim.local(sim.nodes[it]) < sim.nodes[it].allowed.warm_until;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cells)

BOOST_AUTO_TEST_CASE(nodes_that_start_together_form_one_cell_and_serve_every_searcher) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        cell_simulation sim(with(1 + seed % 12, seed));
        sim.run_for(settle);
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        require_clean(sim, seed);
    }
}

BOOST_AUTO_TEST_CASE(a_crash_is_made_good_within_five_seconds) {
    duration longest{};
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        cell_simulation sim(with(3 + seed % 6, seed));
        sim.run_for(settle + milliseconds(seed * 37 % 1000));
        BOOST_TEST(sim.served() == sim.searchers());
        sim.unserved_longest = {};
        sim.crash(seed % sim.nodes.size());
        sim.run_for(seconds(8));
        longest = std::max(longest, sim.unserved_longest);
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        BOOST_TEST((sim.unserved_longest <= service_bound),
                   "seed " << seed << ": unserved for " << to_ms(sim.unserved_longest) << " ms");
        require_clean(sim, seed);
    }
    BOOST_TEST_MESSAGE("longest time from a crash to service: " << to_ms(longest) << " ms");
}

// A wake-up that is always due starves the sockets of a node's event loop.
BOOST_AUTO_TEST_CASE(a_node_that_waits_for_a_handover_sleeps) {
    cell_simulation sim(with(3, 1));
    sim.run_for(settle);
    sim.crash(1);
    const auto before = sim.wakeups;
    sim.run_for(seconds(5));
    constexpr std::uint64_t most_wakeups =
        2 * 5 * 40; // two nodes, 5 s, twice the regular rate of 20 a second
    BOOST_TEST(sim.wakeups - before <= most_wakeups);
}

BOOST_AUTO_TEST_CASE(a_node_that_leaves_hands_over_without_waiting_for_its_lease) {
    duration longest{};
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        auto options = with(3 + seed % 6, seed);
        options.deadline = milliseconds(50);
        cell_simulation sim(options);
        sim.run_for(settle + milliseconds(seed * 37 % 1000));
        sim.unserved_longest = {};
        sim.leave(seed % sim.nodes.size());
        sim.run_for(seconds(3));
        longest = std::max(longest, sim.unserved_longest);
        BOOST_TEST(sim.nodes[seed % sim.nodes.size()].has_left, "seed " << seed);
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        BOOST_TEST((sim.unserved_longest < options.timing.lease), "seed " << seed);
        require_clean(sim, seed);
    }
    BOOST_TEST_MESSAGE("longest handover of a leaving node, work of up to 50 ms: " << to_ms(longest)
                                                                                   << " ms");
}

BOOST_AUTO_TEST_CASE(a_paused_node_sends_nothing_after_its_lease_when_it_wakes) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        cell_simulation sim(with(3 + seed % 6, seed));
        sim.run_for(settle);
        sim.pause(seed % sim.nodes.size(), milliseconds(500 + seed * 41 % 6000));
        sim.run_for(seconds(10));
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        require_clean(sim, seed);
    }
}

BOOST_AUTO_TEST_SUITE(platform_outages)

BOOST_AUTO_TEST_CASE(service_goes_on_while_every_member_promises) {
    for (const auto rule : {promise_rule::majority, promise_rule::every}) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            auto options = with(1 + seed % 12, seed);
            options.timing.rule = rule;
            cell_simulation sim(options);
            sim.run_for(settle + milliseconds(seed * 37 % 1000));
            sim.unserved_longest = {};
            sim.platform.down = true;
            sim.run_for(seconds(30));
            sim.platform.down = false;
            sim.run_for(seconds(5));
            BOOST_TEST((sim.unserved_longest == duration::zero()),
                       "seed " << seed << ": unserved for " << to_ms(sim.unserved_longest) << " ms");
            require_clean(sim, seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(members_that_are_left_by_a_crash_serve_on_and_the_rest_is_taken_over_later) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        cell_simulation sim(with(3 + seed % 6, seed));
        sim.run_for(settle + milliseconds(seed * 37 % 1000));
        const auto victim = seed % sim.nodes.size();
        const auto expected = sim.searchers() - sim.nodes[victim].serving.size();
        sim.platform.down = true;
        sim.run_for(seconds(3));
        sim.crash(victim);
        sim.run_for(seconds(10));
        BOOST_TEST(sim.served() == expected, "seed " << seed << ": " << sim.served() << " of " << expected);
        sim.platform.down = false;
        sim.run_for(seconds(10));
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        require_clean(sim, seed);
    }
}

/// Cuts the first `n` nodes off from the platform and from the other nodes.
void cut_off_first(cell_simulation& sim, std::size_t n) {
    for (std::size_t one = 0; one < n; ++one) {
        sim.nodes[one].platform_cut = true;
        for (std::size_t it = n; it < sim.nodes.size(); ++it) {
            sim.cut(one, it);
        }
    }
}

// The platform is up for the few, and the many cannot know it.
BOOST_AUTO_TEST_CASE(a_majority_cut_off_together_serves_on_and_the_others_do_not_take_over) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        cell_simulation sim(with(5, seed));
        sim.run_for(settle + milliseconds(seed * 37 % 1000));
        const auto expected =
            sim.nodes[0].serving.size() + sim.nodes[1].serving.size() + sim.nodes[2].serving.size();
        cut_off_first(sim, 3);
        sim.run_for(seconds(10));
        BOOST_TEST(sim.served() >= expected, "seed " << seed << ": " << sim.served() << " of " << expected);
        require_clean(sim, seed);
    }
}

BOOST_AUTO_TEST_CASE(where_every_member_has_to_promise_the_few_that_reach_the_platform_take_over) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        auto options = with(5, seed);
        options.timing.rule = promise_rule::every;
        cell_simulation sim(options);
        sim.run_for(settle + milliseconds(seed * 37 % 1000));
        cut_off_first(sim, 3);
        sim.run_for(seconds(10));
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        require_clean(sim, seed);
    }
}

BOOST_AUTO_TEST_CASE(a_minority_cut_off_from_peers_and_platform_stops) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        cell_simulation sim(with(5, seed));
        sim.run_for(settle);
        for (std::size_t it = 2; it < sim.nodes.size(); ++it) {
            sim.cut(0, it);
            sim.cut(1, it);
        }
        sim.nodes[0].platform_cut = true;
        sim.nodes[1].platform_cut = true;
        sim.run_for(lease * 2);
        BOOST_TEST((!may_dispatch(sim, 0) && !may_dispatch(sim, 1)), "seed " << seed);
        sim.run_for(seconds(6));
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        require_clean(sim, seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
