// Tests that each configuration reaches every node within the bound and is never replaced by an older one.
// Faults of the platform, lost messages, stale sources, restarts and partitions could delay or revert it.
#include "configuration_world.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylarkseam;
using testing::world;

namespace {

/// Specified maximum time until an accepted configuration is in force at every node.
constexpr duration propagation_bound = seconds(5);
constexpr std::size_t target_node_count = 820;

std::string body_of(generation_id generation) {
    std::string body;
    for (int line = 0; line < 400; ++line) {
        body += "line " + std::to_string(line) + '\n';
    }
    return body + "generation " + std::to_string(generation) + '\n';
}

/// Simulation with generation 1 in the platform and all nodes started; node 0 watches the platform.
struct started_world : world {
    explicit started_world(testing::world_options options)
        : world(std::move(options)) {
        apply(1, body_of(1));
        for (std::size_t n = 0; n < size(); ++n) {
            start(n);
        }
        set_watching(0, true);
    }
};

void check_generations_increase(world& it) {
    for (std::size_t n = 0; n < it.size(); ++n) {
        const auto& history = it.at(n).history;
        BOOST_TEST(
            (std::adjacent_find(history.begin(), history.end(), std::greater_equal<>()) == history.end()));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(following_a_configuration)

BOOST_AUTO_TEST_CASE(one_watching_node_updates_all_nodes) {
    started_world it({.nodes = 8});
    BOOST_TEST(it.run_until_all_have(1, propagation_bound).has_value());
    it.run(seconds(10));
    const auto before = it.platform.calls;
    it.apply(2, body_of(2));
    BOOST_TEST(it.run_until_all_have(2, propagation_bound).has_value());
    it.run(seconds(60));
    // The watching node makes one watch call every 20 s and one direct read every 4 s.
    BOOST_TEST(it.platform.calls - before <= 60U / 20U + 60U / 4U + 3U);
    check_generations_increase(it);
}

BOOST_AUTO_TEST_CASE(a_configuration_spreads_from_peers_after_the_platform_fails) {
    started_world it({.nodes = 20, .seed = 3, .loss = 0.2});
    it.run(seconds(5));
    it.apply(2, body_of(2));
    while (it.generation(0) != 2) {
        it.run(milliseconds(1));
    }
    it.platform.faults.down = true;
    BOOST_TEST(it.run_until_all_have(2, propagation_bound).has_value());

    // A node that restarts during the outage gets the configuration from its peers.
    it.stop(7);
    it.start(7);
    BOOST_TEST(it.run_until_all_have(2, propagation_bound).has_value());
    BOOST_TEST(it.at(7).history.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lagging_watch_does_not_delay_a_configuration) {
    started_world it({.nodes = 8});
    it.run(seconds(3));
    it.platform.faults.watch_lag = seconds(60);
    it.apply(2, body_of(2));
    BOOST_TEST(it.run_until_all_have(2, propagation_bound).has_value());
}

BOOST_AUTO_TEST_CASE(a_lower_generation_is_refused_from_every_source) {
    started_world it({.nodes = 3});
    it.run(seconds(2));
    it.platform.take_stale_snapshot();
    it.apply(2, body_of(2));
    it.run(seconds(5));
    BOOST_TEST(it.all_have(2));

    // The platform returns the older store to direct reads and to a new watch.
    it.platform.faults.stale_reads = true;
    it.set_watching(1, true);
    it.run(seconds(20));
    BOOST_TEST(it.all_have(2));
    BOOST_TEST(it.at(1).follower->counters().refused_lower > 0U);
    it.platform.faults = {};

    // A peer without generation 2 sends a digest of generation 1.
    std::vector<follower_output> out;
    (void)it.at(0).follower->answer_peer(configuration_message::digest{"old", "10.0.0.1:7000", 1, "hash"},
                                         it.now(), out);
    BOOST_TEST(out.empty());
    check_generations_increase(it);
}

BOOST_AUTO_TEST_CASE(a_starting_node_waits_for_several_sources_before_it_installs_one) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        started_world it({.nodes = 4, .seed = seed, .loss = 0.2});
        it.run(seconds(3));
        // Node 1 is partitioned and stays at generation 1; then the platform fails.
        it.connected = [](std::size_t a, std::size_t b) { return a != 1 && b != 1; };
        it.apply(2, body_of(2));
        for (int n = 0; n < 2000 && it.generation(0) + it.generation(2) + it.generation(3) < 6; ++n) {
            it.run(milliseconds(1));
        }
        it.platform.faults.down = true;
        BOOST_TEST(it.generation(1) == 1U);
        // Node 3 restarts. It can reach all nodes, but node 1 can reach only node 3.
        it.stop(3);
        it.connected = [](std::size_t a, std::size_t b) { return (a != 1 && b != 1) || a + b == 4; };
        it.start(3);
        it.run(seconds(5));
        BOOST_TEST(it.at(3).history == std::vector<generation_id>{2}, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(an_invalid_body_is_never_put_in_force) {
    started_world it({.nodes = 3});
    it.run(seconds(2));
    it.apply(2, "bad " + body_of(2));
    it.run(seconds(10));
    BOOST_TEST(it.all_have(1));
    BOOST_TEST(!it.at(0).refusals.empty());
    it.apply(3, body_of(3));
    BOOST_TEST(it.run_until_all_have(3, propagation_bound).has_value());
}

BOOST_AUTO_TEST_CASE(a_node_without_platform_and_peers_reports_that_it_is_cut_off) {
    started_world it({.nodes = 3});
    it.run(seconds(2));
    it.platform.faults.down = true;
    it.run(seconds(30));
    BOOST_TEST(!it.at(2).follower->cut_off(it.now()));
    it.connected = [](std::size_t a, std::size_t b) { return a != 2 && b != 2; };
    it.run(follower_options{}.cut_off_after + seconds(1));
    BOOST_TEST(it.at(2).follower->cut_off(it.now()));
    BOOST_TEST(!it.at(1).follower->cut_off(it.now()));
    it.connected = nullptr;
    it.run(seconds(3));
    BOOST_TEST(!it.at(2).follower->cut_off(it.now()));
}

BOOST_AUTO_TEST_CASE(a_small_change_fetches_few_parts) {
    started_world it({.nodes = 4});
    it.run(seconds(3));
    const auto before = it.at(3).follower->counters();
    it.apply(2, body_of(2));
    it.run(seconds(3));
    const auto after = it.at(3).follower->counters();
    BOOST_TEST(after.parts_fetched - before.parts_fetched <= 2U);
    BOOST_TEST(after.parts_reused - before.parts_reused >= 2U);
}

BOOST_AUTO_TEST_CASE(a_configuration_reaches_all_nodes_after_any_two_platform_faults) {
    using faults = testing::platform_faults;
    const std::vector<std::function<void(faults&)>> kinds{
        [](faults& it) { it.down = true; },          [](faults& it) { it.throttled = true; },
        [](faults& it) { it.lose_answers = true; },  [](faults& it) { it.stale_reads = true; },
        [](faults& it) { it.latency = seconds(2); }, [](faults& it) { it.watch_lag = seconds(30); },
    };
    std::uint64_t seed = 100;
    for (std::size_t a = 0; a < kinds.size(); ++a) {
        for (std::size_t b = a; b < kinds.size(); ++b) {
            started_world it({.nodes = 6, .seed = ++seed, .loss = 0.1});
            pcg32 random(seed);
            it.run(seconds(3));
            generation_id generation = 1;
            for (int round = 0; round < 6; ++round) {
                it.platform.take_stale_snapshot();
                kinds[a](it.platform.faults);
                it.run(milliseconds(random(3000)));
                ++generation;
                it.apply(generation, body_of(generation));
                kinds[b](it.platform.faults);
                const auto restarted = random(6);
                it.stop(restarted);
                it.run(milliseconds(random(3000)));
                it.start(restarted);
                it.set_watching(random(6), true);
                it.run(milliseconds(random(3000)));
                it.platform.faults = {};
                // After the faults end, one maximum retry pause and one propagation are allowed.
                const auto bound = follower_options{}.max_retry_pause + propagation_bound;
                BOOST_TEST(it.run_until_all_have(generation, bound).has_value(),
                           "faults " << a << " and " << b << ", round " << round << ", seed " << seed);
                check_generations_increase(it);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_configuration_reaches_all_nodes_in_time_at_the_target_size) {
    started_world it({.nodes = target_node_count, .seed = 5, .loss = 0.1});
    it.run(seconds(20));
    BOOST_TEST(it.all_have(1));
    for (generation_id generation = 2; generation < 5; ++generation) {
        it.apply(generation, body_of(generation));
        BOOST_TEST(it.run_until_all_have(generation, propagation_bound).has_value());
    }
    check_generations_increase(it);
}

BOOST_AUTO_TEST_SUITE_END()
