// The command `platform`.
#include "standin/commands.hpp"
#include "standin/platform.hpp"

#include <cxxopts.hpp>

#include <iostream>

namespace skylarkseam::standin {
namespace {

cxxopts::Options platform_usage() {
    const platform_options base;
    cxxopts::Options usage("skylarkseam-standin platform", "The platform's object API on loopback.");
    auto add = usage.add_options();
    add("port", "port; 0 takes a free one", cxxopts::value<std::uint16_t>()->default_value("0"));
    add("reads", "reads a second, watches included",
        cxxopts::value<double>()->default_value(std::to_string(base.reads_per_s)));
    add("writes", "writes a second",
        cxxopts::value<double>()->default_value(std::to_string(base.writes_per_s)));
    add("history", "changes kept for watches",
        cxxopts::value<std::size_t>()->default_value(std::to_string(base.history)));
    add("seed", "of the choice which answers are lost", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("h,help", "print this");
    return usage;
}

} // namespace

int run_platform(int argc, char** argv) {
    auto usage = platform_usage();
    const auto given = usage.parse(argc, argv);
    if (given.count("help") > 0) {
        std::cout << usage.help();
        return exit_done;
    }
    platform_options options;
    options.port = given["port"].as<std::uint16_t>();
    options.reads_per_s = given["reads"].as<double>();
    options.writes_per_s = given["writes"].as<double>();
    options.history = given["history"].as<std::size_t>();
    options.seed = given["seed"].as<std::uint64_t>();
    http_loop loop;
    const platform service(loop, options);
    std::cout << "event=listening address=" << service.address() << std::endl;
    loop.run();
    return exit_done;
}

} // namespace skylarkseam::standin
