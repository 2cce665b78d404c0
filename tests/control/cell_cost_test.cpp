// Platform calls of all cells together: they grow with the number of cells and stay within the platform's
// rate limits.
#include "cell_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::simulation;

namespace {

constexpr std::size_t nodes_per_cell = 12;
constexpr std::size_t target_nodes = 820;
constexpr std::size_t searchers_per_cell = 57;
constexpr double max_writes_per_second = 100;
constexpr double max_reads_per_second = 400;
constexpr duration settle_time = seconds(4);
constexpr int measured_seconds = 20;

struct call_rate {
    std::size_t cells = 0;
    double reads = 0;
    double writes = 0;
};

/// Measures the platform calls per second of the cells that `nodes` nodes form, after they have become
/// stable. \param disturb  fault to inject into each cell
call_rate measure(std::size_t nodes, const std::function<void(cell_simulation&)>& disturb) {
    call_rate rate;
    rate.cells = std::max<std::size_t>(1, nodes / nodes_per_cell);
    for (std::size_t it = 0; it < rate.cells; ++it) {
        cell_options options;
        options.nodes = nodes / rate.cells + (it < nodes % rate.cells ? 1 : 0);
        options.searchers = searchers_per_cell;
        options.seed = it + 1;
        cell_simulation sim(options);
        sim.run_for(settle_time);
        const auto reads = sim.platform.reads;
        const auto writes = sim.platform.writes;
        disturb(sim);
        sim.run_for(seconds(measured_seconds));
        rate.reads += static_cast<double>(sim.platform.reads - reads) / measured_seconds;
        rate.writes += static_cast<double>(sim.platform.writes - writes) / measured_seconds;
    }
    return rate;
}

void check(const call_rate& rate, std::size_t nodes, const std::string& what) {
    BOOST_TEST_MESSAGE(nodes << " nodes, " << rate.cells << " cells, " << what << ": " << rate.reads
                             << " reads and " << rate.writes << " writes a second");
    BOOST_TEST(rate.writes < max_writes_per_second);
    BOOST_TEST(rate.reads < max_reads_per_second);
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell_cost)

BOOST_AUTO_TEST_CASE(platform_calls_grow_with_the_cells_and_not_with_the_nodes) {
    double writes_of_a_cell = 0;
    for (const std::size_t nodes : {3U, 8U, 12U, 100U, 820U}) {
        const auto rate = measure(nodes, [](cell_simulation&) {});
        check(rate, nodes, "steady");
        const auto each = rate.writes / static_cast<double>(rate.cells);
        writes_of_a_cell = writes_of_a_cell == 0 ? each : writes_of_a_cell;
        BOOST_TEST(each < writes_of_a_cell * 1.1);
    }
}

BOOST_AUTO_TEST_CASE(a_platform_outage_of_all_cells_stays_within_the_same_bounds) {
    check(measure(target_nodes, [](cell_simulation& sim) { sim.platform.down = true; }), target_nodes,
          "outage");
}

BOOST_AUTO_TEST_CASE(a_crash_in_every_cell_at_once_stays_within_the_same_bounds) {
    check(measure(target_nodes, [](cell_simulation& sim) { sim.crash(0); }), target_nodes,
          "a crash in each cell");
}

BOOST_AUTO_TEST_SUITE_END()
