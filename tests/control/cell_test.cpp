// A cell under crashes, pauses, partitions and platform faults: which nodes may dispatch, and how soon every
// searcher is served again.
#include "cell_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylarkseam;
using namespace skylarkseam::simulation;

namespace {

constexpr duration settle_time = seconds(4);
constexpr duration service_bound = seconds(5);
constexpr duration lease = cell_timing{}.lease;

cell_options make_options(std::size_t nodes, std::uint64_t seed) {
    cell_options options;
    options.nodes = nodes;
    options.seed = seed;
    return options;
}

void check_safety(const cell_simulation& sim, std::uint64_t seed) {
    BOOST_TEST(sim.violations.empty(),
               "seed " << seed << ": " << sim.violations.size()
                       << " violations, first: " << (sim.violations.empty() ? "" : sim.violations.front()));
    BOOST_TEST(std::ranges::is_sorted(sim.platform.epochs), "seed " << seed << ": an epoch decreased");
}

bool may_dispatch(const cell_simulation& sim, std::size_t it) {
    return sim.local_time(sim.nodes[it]) < sim.nodes[it].granted_authority.warm_until;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cells)

BOOST_AUTO_TEST_CASE(nodes_that_start_together_form_one_cell_and_serve_every_searcher) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        cell_simulation sim(make_options(1 + seed % 12, seed));
        sim.run_for(settle_time);
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        check_safety(sim, seed);
    }
}

BOOST_AUTO_TEST_CASE(service_recovers_from_a_crash_within_five_seconds) {
    duration longest{};
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        cell_simulation sim(make_options(3 + seed % 6, seed));
        sim.run_for(settle_time + milliseconds(seed * 37 % 1000));
        BOOST_TEST(sim.served() == sim.searchers());
        sim.unserved_longest = {};
        sim.crash(seed % sim.nodes.size());
        sim.run_for(seconds(8));
        longest = std::max(longest, sim.unserved_longest);
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        BOOST_TEST((sim.unserved_longest <= service_bound),
                   "seed " << seed << ": unserved for " << to_ms(sim.unserved_longest) << " ms");
        check_safety(sim, seed);
    }
    BOOST_TEST_MESSAGE("longest time from a crash to service: " << to_ms(longest) << " ms");
}

// Guards against a timer that is always due: it keeps the node's event loop from serving its sockets.
BOOST_AUTO_TEST_CASE(a_node_that_waits_for_a_handover_does_not_busy_loop) {
    cell_simulation sim(make_options(3, 1));
    sim.run_for(settle_time);
    sim.crash(1);
    const auto before = sim.wakeups;
    sim.run_for(seconds(5));
    // Allows two nodes, for 5 s, twice the regular rate of 20 wake-ups per second.
    constexpr std::uint64_t max_wakeups = 400;
    BOOST_TEST(sim.wakeups - before <= max_wakeups);
}

BOOST_AUTO_TEST_CASE(a_node_that_leaves_hands_over_without_waiting_for_its_lease) {
    duration longest{};
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        auto options = make_options(3 + seed % 6, seed);
        options.deadline = milliseconds(50);
        cell_simulation sim(options);
        sim.run_for(settle_time + milliseconds(seed * 37 % 1000));
        sim.unserved_longest = {};
        sim.leave(seed % sim.nodes.size());
        sim.run_for(seconds(3));
        longest = std::max(longest, sim.unserved_longest);
        BOOST_TEST(sim.nodes[seed % sim.nodes.size()].has_left, "seed " << seed);
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        BOOST_TEST((sim.unserved_longest < options.timing.lease), "seed " << seed);
        check_safety(sim, seed);
    }
    BOOST_TEST_MESSAGE("longest handover of a leaving node, work of up to 50 ms: " << to_ms(longest)
                                                                                   << " ms");
}

BOOST_AUTO_TEST_CASE(a_paused_node_dispatches_nothing_after_its_lease_has_expired) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        cell_simulation sim(make_options(3 + seed % 6, seed));
        sim.run_for(settle_time);
        sim.pause(seed % sim.nodes.size(), milliseconds(500 + seed * 41 % 6000));
        sim.run_for(seconds(10));
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        check_safety(sim, seed);
    }
}

BOOST_AUTO_TEST_SUITE(loss_of_most_members)

constexpr duration absence_bound = cell_timing{}.host_absence_timeout + seconds(20);

BOOST_AUTO_TEST_CASE(a_restarted_node_proves_that_its_earlier_process_has_ended) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        cell_simulation sim(make_options(2 + seed % 7, seed));
        sim.run_for(settle_time);
        for (std::size_t it = 0; it < sim.nodes.size(); ++it) {
            sim.crash(it);
            sim.at(milliseconds(500 + 100 * it), [&sim, it] { sim.start(it); });
        }
        sim.run_for(seconds(15));
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        check_safety(sim, seed);
    }
}

BOOST_AUTO_TEST_CASE(new_hosts_take_over_once_the_platform_no_longer_lists_the_old_ones) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        cell_simulation sim(make_options(2 + seed % 7, seed));
        sim.run_for(settle_time);
        for (std::size_t it = 0; it < sim.nodes.size(); ++it) {
            sim.crash(it);
            sim.replace(it);
        }
        sim.run_for(absence_bound);
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        check_safety(sim, seed);
    }
}

BOOST_AUTO_TEST_CASE(hosts_listed_under_other_names_do_not_count_as_absent) {
    cell_simulation sim(make_options(5, 1));
    sim.platform.hosts = {"host-a", "host-b"};
    sim.run_for(settle_time);
    const auto expected = sim.nodes[3].serving.size() + sim.nodes[4].serving.size();
    for (std::size_t it = 0; it < 3; ++it) {
        sim.crash(it);
    }
    sim.run_for(absence_bound);
    BOOST_TEST(sim.served() == expected);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_outages)

BOOST_AUTO_TEST_CASE(service_continues_while_every_member_grants_promises) {
    for (const auto rule : {promise_rule::majority, promise_rule::every}) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            auto options = make_options(1 + seed % 12, seed);
            options.timing.rule = rule;
            cell_simulation sim(options);
            sim.run_for(settle_time + milliseconds(seed * 37 % 1000));
            sim.unserved_longest = {};
            sim.platform.down = true;
            sim.run_for(seconds(30));
            sim.platform.down = false;
            sim.run_for(seconds(5));
            BOOST_TEST((sim.unserved_longest == duration::zero()),
                       "seed " << seed << ": unserved for " << to_ms(sim.unserved_longest) << " ms");
            check_safety(sim, seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(after_a_crash_the_other_members_keep_serving_and_take_over_when_the_outage_ends) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        cell_simulation sim(make_options(3 + seed % 6, seed));
        sim.run_for(settle_time + milliseconds(seed * 37 % 1000));
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
        check_safety(sim, seed);
    }
}

/// Cuts the first `n` nodes off from the platform and from the other nodes.
void isolate_first(cell_simulation& sim, std::size_t n) {
    for (std::size_t one = 0; one < n; ++one) {
        sim.nodes[one].platform_cut = true;
        for (std::size_t it = n; it < sim.nodes.size(); ++it) {
            sim.cut(one, it);
        }
    }
}

// The minority reaches the platform, but the majority cannot detect this.
BOOST_AUTO_TEST_CASE(a_majority_cut_off_together_keeps_serving_and_the_minority_does_not_take_over) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        cell_simulation sim(make_options(5, seed));
        sim.run_for(settle_time + milliseconds(seed * 37 % 1000));
        const auto expected =
            sim.nodes[0].serving.size() + sim.nodes[1].serving.size() + sim.nodes[2].serving.size();
        isolate_first(sim, 3);
        sim.run_for(seconds(10));
        BOOST_TEST(sim.served() >= expected, "seed " << seed << ": " << sim.served() << " of " << expected);
        check_safety(sim, seed);
    }
}

BOOST_AUTO_TEST_CASE(under_the_every_rule_the_minority_that_reaches_the_platform_takes_over) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        auto options = make_options(5, seed);
        options.timing.rule = promise_rule::every;
        cell_simulation sim(options);
        sim.run_for(settle_time + milliseconds(seed * 37 % 1000));
        isolate_first(sim, 3);
        sim.run_for(seconds(10));
        BOOST_TEST(sim.served() == sim.searchers(), "seed " << seed << ": " << sim.served());
        check_safety(sim, seed);
    }
}

BOOST_AUTO_TEST_CASE(a_minority_cut_off_from_peers_and_platform_stops_dispatching) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        cell_simulation sim(make_options(5, seed));
        sim.run_for(settle_time);
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
        check_safety(sim, seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
