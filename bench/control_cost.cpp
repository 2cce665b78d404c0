// What control costs a node: platform calls, bytes and processor time, for 3 to 820 nodes in cells of a
// dozen.
#include <skylarkseam/wire/cell_codec.hpp>
#include <skylarkseam/wire/cell_json.hpp>

#include <chrono>
#include <cstdio>
#include <tests/control/cell_simulation.hpp>

using namespace skylarkseam;
using namespace skylarkseam::simulation;

namespace {

constexpr std::size_t nodes_of_a_cell = 12;
constexpr std::size_t searchers_of_a_cell = 57;
constexpr duration settle = seconds(4);
constexpr int measured_s = 30;
constexpr std::size_t frame_bytes = 100;         ///< HTTP/2 frames, TCP and IP headers and acknowledgements
constexpr std::size_t platform_call_bytes = 600; ///< HTTP/1.1 headers of both ways, TCP and IP headers

struct cost {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytes = 0;        ///< over all nodes, each message counted where it is sent and received
    std::uint64_t holder_bytes = 0; ///< of the node of each cell that renews
    double cpu_s = 0;
};

void measure_cell(std::size_t nodes, std::uint64_t seed, cost& total) {
    cell_options options;
    options.nodes = nodes;
    options.searchers = searchers_of_a_cell;
    options.seed = seed;
    cell_simulation sim(options);
    sim.run_for(settle);
    std::uint64_t message_bytes = 0;
    std::uint64_t platform_bytes = 0;
    sim.on_message = [&](const cell_envelope& it) { message_bytes += encode({it}).size() + frame_bytes; };
    sim.on_write = [&](const cell_record& it) {
        platform_bytes += 2 * encode_cell_record(it).size() + platform_call_bytes;
    };
    const auto reads = sim.platform.reads;
    const auto writes = sim.platform.writes;
    const auto begin = std::chrono::steady_clock::now();
    sim.run_for(seconds(measured_s));
    total.cpu_s += std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    total.reads += sim.platform.reads - reads;
    total.writes += sim.platform.writes - writes;
    total.bytes += 2 * message_bytes + platform_bytes;
    total.holder_bytes += message_bytes + platform_bytes;
}

void report(std::size_t nodes) {
    const auto cells = std::max<std::size_t>(1, nodes / nodes_of_a_cell);
    cost total;
    for (std::size_t it = 0; it < cells; ++it) {
        measure_cell(nodes / cells + (it < nodes % cells ? 1 : 0), it + 1, total);
    }
    const auto a_second = [](auto value) { return static_cast<double>(value) / measured_s; };
    std::printf("%6zu %6zu %9.1f %9.1f %13.0f %13.0f %9.3f\n", nodes, cells, a_second(total.reads),
                a_second(total.writes), a_second(total.bytes) / static_cast<double>(nodes),
                a_second(total.holder_bytes) / static_cast<double>(cells),
                100 * a_second(total.cpu_s) / static_cast<double>(nodes));
}

} // namespace

int main() {
    std::printf("%6s %6s %9s %9s %13s %13s %9s\n", "nodes", "cells", "reads/s", "writes/s", "bytes/s/node",
                "bytes/s/holder", "core %");
    for (const std::size_t nodes : {3U, 8U, 12U, 100U, 820U}) {
        report(nodes);
    }
    return 0;
}
