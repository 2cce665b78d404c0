// Runs one cell under thousands of seeded fault schedules, with single faults and pairs of faults.
#include "cell_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace skylarkseam;
using namespace skylarkseam::simulation;

namespace {

constexpr duration settle_time = seconds(4);
constexpr duration faults_end = seconds(14);
constexpr duration recovery = seconds(9);

enum class fault {
    crash,
    restart,
    pause,
    cut_from_peers,
    cut_from_platform,
    partition,
    platform_down,
    platform_slow,
    platform_throttled,
    lost_answers,
    lost_messages,
    leave,
    searchers_changed,
};

constexpr std::array all_faults{
    fault::crash,
    fault::restart,
    fault::pause,
    fault::cut_from_peers,
    fault::cut_from_platform,
    fault::partition,
    fault::platform_down,
    fault::platform_slow,
    fault::platform_throttled,
    fault::lost_answers,
    fault::lost_messages,
    fault::leave,
    fault::searchers_changed,
};

duration random_span(cell_simulation& sim, int least_ms, int most_ms) {
    return milliseconds(least_ms +
                        static_cast<int>(sim.random(static_cast<std::uint32_t>(most_ms - least_ms))));
}

void inject_at_node(cell_simulation& sim, fault kind, std::size_t it, duration span) {
    switch (kind) {
    case fault::crash:
        sim.crash(it);
        break;
    case fault::restart:
        sim.crash(it);
        sim.at(span / 4, [&sim, it] {
            if (!sim.nodes[it].alive) {
                sim.start(it);
            }
        });
        break;
    case fault::pause:
        sim.pause(it, span);
        break;
    case fault::cut_from_peers:
        for (std::size_t other = 0; other < sim.nodes.size(); ++other) {
            if (sim.random(2) == 0) {
                sim.cut(it, other);
            }
        }
        sim.at(span, [&sim] { sim.heal(); });
        break;
    case fault::cut_from_platform:
        sim.nodes[it].platform_cut = true;
        sim.at(span, [&sim, it] { sim.nodes[it].platform_cut = false; });
        break;
    case fault::leave:
        sim.leave(it);
        break;
    default:
        break;
    }
}

/// Cuts some nodes off from the platform and from the nodes that still reach the platform.
void inject_partition(cell_simulation& sim, duration span) {
    for (std::size_t one = 0; one < sim.nodes.size(); ++one) {
        sim.nodes[one].platform_cut = sim.random(3) != 0;
        for (std::size_t other = 0; other < one; ++other) {
            if (sim.nodes[one].platform_cut != sim.nodes[other].platform_cut) {
                sim.cut(one, other);
            }
        }
    }
    sim.at(span, [&sim] {
        sim.heal();
        for (auto& it : sim.nodes) {
            it.platform_cut = false;
        }
    });
}

void inject(cell_simulation& sim, fault kind) {
    const auto it = sim.random(static_cast<std::uint32_t>(sim.nodes.size()));
    const auto span = random_span(sim, 300, 8000);
    switch (kind) {
    case fault::partition:
        inject_partition(sim, span);
        break;
    case fault::platform_down:
        sim.platform.down = true;
        sim.at(span, [&sim] { sim.platform.down = false; });
        break;
    case fault::platform_slow:
        sim.platform.latency = random_span(sim, 100, 2500);
        sim.at(span, [&sim] { sim.platform.latency = milliseconds(4); });
        break;
    case fault::platform_throttled:
        sim.platform.throttled = true;
        sim.at(span, [&sim] { sim.platform.throttled = false; });
        break;
    case fault::lost_answers:
        sim.platform.lose_answers_percent = 70;
        sim.at(span, [&sim] { sim.platform.lose_answers_percent = 0; });
        break;
    case fault::lost_messages:
        sim.message_loss_percent = 30;
        sim.at(span, [&sim] { sim.message_loss_percent = 0; });
        break;
    case fault::searchers_changed:
        sim.change_searchers(6 + sim.random(12));
        break;
    default:
        inject_at_node(sim, kind, it, span);
    }
}

/// Ends all faults and restarts every node that crashed or left.
void end_faults(cell_simulation& sim) {
    sim.heal();
    sim.platform.down = false;
    sim.platform.throttled = false;
    sim.platform.lose_answers_percent = 0;
    sim.platform.latency = milliseconds(4);
    sim.message_loss_percent = 0;
    for (std::size_t it = 0; it < sim.nodes.size(); ++it) {
        sim.nodes[it].platform_cut = false;
        if (!sim.nodes[it].alive || sim.nodes[it].has_left) {
            sim.start(it);
        }
    }
}

struct schedule_result {
    std::vector<std::string> violations;
    std::uint64_t dispatches = 0;
    bool recovered = false;
    bool epochs_rise = false;
};

schedule_result run_schedule(const cell_options& options, std::initializer_list<fault> kinds) {
    cell_simulation sim(options);
    sim.run_for(settle_time);
    for (const auto kind : kinds) {
        sim.at(random_span(sim, 0, 5000), [&sim, kind] { inject(sim, kind); });
    }
    sim.run_for(faults_end - settle_time);
    end_faults(sim);
    sim.run_for(recovery);
    return {sim.violations, sim.dispatches, sim.served() == sim.searchers(),
            std::ranges::is_sorted(sim.platform.epochs)};
}

void check(const schedule_result& result, const std::string& what) {
    BOOST_TEST(result.violations.empty(),
               what << ": " << result.violations.size() << " violations, first: "
                    << (result.violations.empty() ? "" : result.violations.front()));
    BOOST_TEST(result.recovered, what << ": searchers unserved after the faults had ended");
    BOOST_TEST(result.epochs_rise, what << ": an epoch decreased");
    BOOST_TEST(result.dispatches > 0U);
}

cell_options options_for(std::uint64_t seed, promise_rule rule) {
    cell_options options;
    options.nodes = 2 + seed % 7;
    options.seed = seed;
    options.timing.rule = rule;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell_schedules)

BOOST_AUTO_TEST_CASE(no_single_fault_gives_two_nodes_authority_for_a_searcher) {
    for (const auto rule : {promise_rule::majority, promise_rule::every}) {
        for (const auto kind : all_faults) {
            for (std::uint64_t seed = 1; seed <= 50; ++seed) {
                check(run_schedule(options_for(seed, rule), {kind}),
                      "fault " + std::to_string(static_cast<int>(kind)) + " seed " + std::to_string(seed));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(no_pair_of_faults_gives_two_nodes_authority_for_a_searcher) {
    for (const auto one : all_faults) {
        for (const auto other : all_faults) {
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                check(run_schedule(options_for(seed * 31, promise_rule::majority), {one, other}),
                      "faults " + std::to_string(static_cast<int>(one)) + " " +
                          std::to_string(static_cast<int>(other)) + " seed " + std::to_string(seed * 31));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(without_the_handover_wait_the_checker_finds_work_of_two_nodes) {
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto options = options_for(seed, promise_rule::majority);
        options.skip_handover_wait = true;
        found += run_schedule(options, {fault::pause, fault::crash}).violations.empty() ? 0U : 1U;
    }
    BOOST_TEST(found > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
