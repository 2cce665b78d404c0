// The command `searcher`.
#include "standin/commands.hpp"
#include "standin/searcher_set.hpp"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace skylarkseam::standin {
namespace {

constexpr double us_per_ms = 1000.0;

cxxopts::Options searcher_usage() {
    cxxopts::Options usage("skylarkseam-standin searcher",
                           "Searchers on loopback, one port each, and one control port for all.");
    auto set = usage.add_options("Which searchers");
    set("config", "start those of this configuration file or folder", cxxopts::value<std::string>());
    set("write-config", "write the configuration with the real addresses to this file",
        cxxopts::value<std::string>());
    set("group", "name of the upstream group", cxxopts::value<std::string>()->default_value("group"));
    set("searchers", "how many", cxxopts::value<std::size_t>()->default_value("3"));
    set("shards", "how many shards", cxxopts::value<shard_id>()->default_value("6"));
    set("replicas", "searchers that hold each shard", cxxopts::value<std::uint32_t>()->default_value("3"));
    set("zones", "availability zones, in turn",
        cxxopts::value<std::vector<std::string>>()->default_value("a,b,c"));
    set("slots", "requests that each runs at a time", cxxopts::value<std::uint32_t>()->default_value("4"));
    set("connections", "that each accepts", cxxopts::value<std::uint32_t>()->default_value("35"));
    set("cold-slots", "that each bears while cold", cxxopts::value<std::uint32_t>()->default_value("1"));
    set("cold-step", "slots more for each interval", cxxopts::value<std::uint32_t>()->default_value("1"));
    set("cold-interval-ms", "of the cold start", cxxopts::value<std::int64_t>()->default_value("1000"));
    auto model = usage.add_options("How they serve");
    model("snapshots", "held at the start", cxxopts::value<std::vector<snapshot_id>>()->default_value("1"));
    model("queue", "requests that wait for a slot", cxxopts::value<std::uint32_t>()->default_value("16"));
    model("base-ms", "service time", cxxopts::value<double>()->default_value("2"));
    model("jitter", "part by which it varies", cxxopts::value<double>()->default_value("0.2"));
    model("straggler-probability", "of a request", cxxopts::value<double>()->default_value("0"));
    model("straggler-factor", "of its service time", cxxopts::value<double>()->default_value("20"));
    model("cold-factor", "of the service time while cold", cxxopts::value<double>()->default_value("2"));
    model("open-cost-ms", "of a new connection", cxxopts::value<double>()->default_value("0"));
    model("seed", "of the service times", cxxopts::value<std::uint64_t>()->default_value("1"));
    usage.add_options()("h,help", "print this");
    return usage;
}

duration from_ms(double ms) {
    return duration(static_cast<duration::rep>(ms * us_per_ms));
}

cold_start read_cold(const cxxopts::ParseResult& given) {
    return {given["cold-slots"].as<std::uint32_t>(), given["cold-step"].as<std::uint32_t>(),
            milliseconds(given["cold-interval-ms"].as<std::int64_t>())};
}

searcher_options read_base(const cxxopts::ParseResult& given) {
    searcher_options base;
    const auto snapshots = given["snapshots"].as<std::vector<snapshot_id>>();
    base.snapshots = {snapshots.begin(), snapshots.end()};
    base.slots = given["slots"].as<std::uint32_t>();
    base.connections = given["connections"].as<std::uint32_t>();
    base.queue = given["queue"].as<std::uint32_t>();
    base.cold = read_cold(given);
    base.time.base = from_ms(given["base-ms"].as<double>());
    base.time.jitter = given["jitter"].as<double>();
    base.time.straggler_probability = given["straggler-probability"].as<double>();
    base.time.straggler_factor = given["straggler-factor"].as<double>();
    base.time.cold_factor = given["cold-factor"].as<double>();
    base.time.open_cost = from_ms(given["open-cost-ms"].as<double>());
    base.seed = given["seed"].as<std::uint64_t>();
    return base;
}

std::string read_documents(const cxxopts::ParseResult& given) {
    if (given.count("config") > 0) {
        return read_configuration(given["config"].as<std::string>());
    }
    uniform_set set;
    set.group = given["group"].as<std::string>();
    set.searchers = given["searchers"].as<std::size_t>();
    set.shards = given["shards"].as<shard_id>();
    set.replicas = given["replicas"].as<std::uint32_t>();
    set.zones = given["zones"].as<std::vector<std::string>>();
    set.slots = given["slots"].as<std::uint32_t>();
    set.connections = given["connections"].as<std::uint32_t>();
    set.cold = read_cold(given);
    return configuration_of(set);
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        throw std::runtime_error("cannot write " + path);
    }
}

void print_addresses(const searcher_set& set) {
    for (const auto& it : set.searchers()) {
        std::cout << "event=listening address=" << it->address()
                  << " role=searcher name=" << it->options().name
                  << " availability_zone=" << it->options().zone << '\n';
    }
    std::cout << "event=listening address=" << set.control_address() << " role=control" << std::endl;
}

} // namespace

int run_searcher(int argc, char** argv) {
    auto usage = searcher_usage();
    const auto given = usage.parse(argc, argv);
    if (given.count("help") > 0) {
        std::cout << usage.help();
        return exit_done;
    }
    const auto documents = read_documents(given);
    http_loop loop;
    const searcher_set set(loop, searchers_in(documents, read_base(given)));
    if (given.count("write-config") > 0) {
        write_file(given["write-config"].as<std::string>(), set.with_addresses(documents));
    }
    print_addresses(set);
    loop.run();
    return exit_done;
}

} // namespace skylarkseam::standin
