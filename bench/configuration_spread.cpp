// How fast a change of the configuration reaches every node, and what it costs each node, on virtual time
// with the real codecs: bench_configuration_spread [NODES...]
#include <skylarkseam/control/body_parts.hpp>
#include <skylarkseam/wire/configuration_json.hpp>
#include <skylarkseam/wire/configuration_message_codec.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <tests/control/configuration_world.hpp>

namespace {

using namespace skylarkseam;

constexpr std::size_t target_searchers = 3900;
constexpr std::size_t searchers_in_a_group = 100;
constexpr std::size_t cell_nodes = 12; ///< one of them watches the platform
constexpr int changes = 5;
constexpr int seconds_idle = 60;
constexpr double changes_a_day = 520.0;
constexpr double seconds_a_day = 86'400.0;

configuration target_configuration() {
    configuration config;
    for (const auto* it : {"a", "b", "c"}) {
        config.zones[it].name = it;
    }
    for (std::size_t n = 0; n < target_searchers; ++n) {
        const auto group = "group-" + std::to_string(n / searchers_in_a_group);
        auto& it = config.groups[group];
        it.name = group;
        it.slots = 4;
        it.connections = 35;
        const auto address = "10.1." + std::to_string(n / 200) + '.' + std::to_string(n % 200) + ":8080";
        it.searchers.push_back({group + "-searcher-" + std::to_string(n),
                                address,
                                std::string(1, static_cast<char>('a' + n % 3)),
                                {static_cast<shard_id>(n % 40), static_cast<shard_id>(n % 40 + 40)},
                                service_state::in});
    }
    return config;
}

/// One node's decoded value serves all, so that 820 nodes fit one process.
result<std::shared_ptr<const configuration>> decode_once(std::string_view body, generation_id generation) {
    static std::shared_ptr<const configuration> latest;
    if (latest == nullptr || latest->generation != generation) {
        BOOST_OUTCOME_TRY(decoded, decode_configuration_text(body, generation));
        latest = std::move(decoded);
    }
    return latest;
}

configuration_codec shared_codec() {
    auto codec = json_configuration_codec();
    codec.decode_body = decode_once;
    return codec;
}

/// Takes one searcher out, as on an ordinary day.
std::string next_body(configuration& config, generation_id generation) {
    auto& group = config.groups["group-" + std::to_string(generation % 39)];
    group.searchers[generation % searchers_in_a_group].state = service_state::out;
    return encode_configuration(config);
}

std::uint64_t total_bytes(testing::world& it) {
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < it.size(); ++n) {
        sum += it.at(n).bytes;
    }
    return sum;
}

std::uint64_t total_messages(testing::world& it) {
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < it.size(); ++n) {
        sum += it.at(n).messages;
    }
    return sum;
}

void measure(std::size_t nodes, double loss) {
    const auto codec = shared_codec();
    testing::world_options options;
    options.nodes = nodes;
    options.seed = nodes;
    options.loss = loss;
    options.codec = &codec;
    options.size_of = [](const any_configuration_message& it) { return encode(it).size(); };
    testing::world it(options);
    auto config = target_configuration();
    it.apply(1, next_body(config, 1));
    for (std::size_t n = 0; n < nodes; ++n) {
        it.start(n);
        if (n % cell_nodes == 0) {
            it.set_watching(n, true);
        }
    }
    it.run(seconds(30));

    const auto calls = it.platform.calls;
    const auto idle_bytes = total_bytes(it);
    const auto idle_messages = total_messages(it);
    it.run(seconds(seconds_idle));
    const auto per_node_second = static_cast<double>(nodes) * seconds_idle;
    const auto bytes_a_second = static_cast<double>(total_bytes(it) - idle_bytes) / per_node_second;
    const auto messages_a_second = static_cast<double>(total_messages(it) - idle_messages) / per_node_second;
    const auto calls_a_second = static_cast<double>(it.platform.calls - calls) / seconds_idle;

    std::vector<double> times_ms;
    const auto change_bytes = total_bytes(it);
    duration spent{};
    for (generation_id generation = 2; generation < 2 + changes; ++generation) {
        it.apply(generation, next_body(config, generation));
        const auto took = it.run_until_all_have(generation, seconds(60));
        times_ms.push_back(took ? static_cast<double>(took->count()) / 1000.0 : -1.0);
        it.run(seconds(2));
        spent += took.value_or(seconds(60)) + seconds(2);
    }
    const auto idle_part =
        bytes_a_second * static_cast<double>(nodes) * static_cast<double>(spent.count()) / 1e6;
    const auto bytes_a_change = (static_cast<double>(total_bytes(it) - change_bytes) - idle_part) /
                                static_cast<double>(nodes) / changes;
    std::sort(times_ms.begin(), times_ms.end());
    std::cout << std::setw(5) << nodes << std::setw(7) << loss << std::fixed << std::setprecision(0)
              << std::setw(12) << times_ms[times_ms.size() / 2] << std::setw(10) << times_ms.back()
              << std::setprecision(1) << std::setw(12) << messages_a_second << std::setw(12) << bytes_a_second
              << std::setprecision(0) << std::setw(14) << bytes_a_change << std::setprecision(1)
              << std::setw(12) << bytes_a_second + bytes_a_change * changes_a_day / seconds_a_day
              << std::setw(12) << calls_a_second << std::defaultfloat << '\n';
}

void measure_body() {
    const auto config = target_configuration();
    const auto body = encode_configuration(config);
    const auto begin = std::chrono::steady_clock::now();
    const auto decoded = decode_configuration_text(body, 1);
    const auto took = std::chrono::steady_clock::now() - begin;
    std::cout << "body of " << target_searchers << " searchers: " << body.size() << " bytes, "
              << split_into_parts(body).size() << " parts, decoded and checked in "
              << std::chrono::duration_cast<std::chrono::milliseconds>(took).count() << " ms"
              << (decoded ? "" : " (refused)") << '\n';
}

} // namespace

int main(int count, char** values) {
    std::vector<std::size_t> sizes{3, 8, 100, 820};
    if (count > 1) {
        sizes.clear();
        for (int n = 1; n < count; ++n) {
            sizes.push_back(std::strtoul(values[n], nullptr, 10));
        }
    }
    measure_body();
    std::cout
        << "nodes   loss   median_ms    max_ms  messages/s     bytes/s  bytes/change   B/s at 520  calls/s\n";
    for (const auto nodes : sizes) {
        measure(nodes, 0.0);
        measure(nodes, 0.1);
    }
    return 0;
}
