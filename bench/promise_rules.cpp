// What a cell loses when a majority of its members, or every one of them, has to promise before a member that
// is cut off from the platform keeps its authority. Both rules run the same seeded schedules.
#include <cstdio>
#include <functional>
#include <tests/control/cell_simulation.hpp>

using namespace skylarkseam;
using namespace skylarkseam::simulation;

namespace {

constexpr duration settle = seconds(4);
constexpr duration fault_length = seconds(20);
constexpr std::uint64_t schedules = 100;
constexpr std::size_t nodes = 5;

struct scenario {
    const char* name;
    std::function<void(cell_simulation&)> begin;
};

void cut_off(cell_simulation& sim, std::size_t first) {
    for (std::size_t one = 0; one < first; ++one) {
        sim.nodes[one].platform_cut = true;
        for (std::size_t other = first; other < nodes; ++other) {
            sim.cut(one, other);
        }
    }
}

const scenario scenarios[] = {
    {"platform down", [](cell_simulation& sim) { sim.platform.down = true; }},
    {"platform down, then 1 crash",
     [](cell_simulation& sim) {
         sim.platform.down = true;
         sim.at(seconds(3), [&sim] { sim.crash(1); });
     }},
    {"platform down, then 2 crashes",
     [](cell_simulation& sim) {
         sim.platform.down = true;
         sim.at(seconds(3), [&sim] { sim.crash(1), sim.crash(2); });
     }},
    {"platform down, then 3 crashes",
     [](cell_simulation& sim) {
         sim.platform.down = true;
         sim.at(seconds(3), [&sim] { sim.crash(1), sim.crash(2), sim.crash(3); });
     }},
    {"1 crash", [](cell_simulation& sim) { sim.crash(1); }},
    {"2 crashes at once", [](cell_simulation& sim) { sim.crash(1), sim.crash(2); }},
    {"3 crashes at once", [](cell_simulation& sim) { sim.crash(1), sim.crash(2), sim.crash(3); }},
    {"2 of 5 lose platform and peers", [](cell_simulation& sim) { cut_off(sim, 2); }},
    {"3 of 5 lose platform and peers", [](cell_simulation& sim) { cut_off(sim, 3); }},
};

void run(const scenario& it, promise_rule rule, const char* name) {
    std::size_t served = 0;
    std::size_t possible = 0;
    std::size_t at_end = 0;
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        cell_options options;
        options.nodes = nodes;
        options.seed = seed;
        options.timing.rule = rule;
        cell_simulation sim(options);
        sim.run_for(settle + milliseconds(seed * 37 % 1000));
        const auto samples = sim.samples;
        const auto before = sim.served_samples;
        it.begin(sim);
        sim.run_for(fault_length);
        served += sim.served_samples - before;
        possible += (sim.samples - samples) * sim.searchers();
        at_end += sim.served() * 100 / sim.searchers();
        violations += sim.violations.size();
    }
    std::printf("%-32s %-9s %8.1f %8.1f %10zu\n", it.name, name,
                100.0 * static_cast<double>(served) / static_cast<double>(possible),
                static_cast<double>(at_end) / static_cast<double>(schedules), violations);
}

} // namespace

int main() {
    std::printf("%zu nodes, %lu schedules each; searchers served, %% over the first 20 s and at their end\n",
                nodes, static_cast<unsigned long>(schedules));
    std::printf("%-32s %-9s %8s %8s %10s\n", "fault", "promises", "served", "at end", "violations");
    for (const auto& it : scenarios) {
        run(it, promise_rule::majority, "majority");
        run(it, promise_rule::every, "every");
    }
    return 0;
}
