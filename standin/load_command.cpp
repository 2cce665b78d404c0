// The command `load`.
#include "standin/commands.hpp"
#include "standin/load_report.hpp"
#include "standin/searcher_set.hpp"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <stdexcept>
#include <unistd.h>

namespace skylarkseam::standin {
namespace {

constexpr double most_rate_per_s = 20'000;
constexpr double most_seconds = 600;
constexpr double us_per_s = 1'000'000.0;

cxxopts::Options load_usage() {
    cxxopts::Options usage(
        "skylarkseam-standin load",
        "Sends queries at a stated rate, whether or not earlier ones were answered; latency "
        "counts from the scheduled time. Loopback addresses only.");
    auto add = usage.add_options();
    add("target", "callers' addresses of the nodes", cxxopts::value<std::vector<std::string>>());
    add("mix", "caller:service[:class][=weight], several by commas",
        cxxopts::value<std::vector<std::string>>());
    add("config", "configuration file or folder, to check the answers' hits", cxxopts::value<std::string>());
    add("searchers", "control address of the searchers, to read their load", cxxopts::value<std::string>());
    add("rate", "requests a second, at most 20000", cxxopts::value<double>()->default_value("50"));
    add("seconds", "length, at most 600", cxxopts::value<double>()->default_value("10"));
    add("timeout-ms", "of one request", cxxopts::value<std::int64_t>()->default_value("10000"));
    add("limit", "hits asked for", cxxopts::value<std::size_t>()->default_value("10"));
    add("queries", "different queries", cxxopts::value<std::uint64_t>()->default_value("1000"));
    add("seed", "of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("title", "of the report", cxxopts::value<std::string>()->default_value("skylarkseam load"));
    add("json", "write the figures to this file", cxxopts::value<std::string>());
    add("html", "write a report with plots to this file", cxxopts::value<std::string>());
    add("h,help", "print this");
    return usage;
}

void require(bool condition, const std::string& text) {
    if (!condition) {
        throw std::invalid_argument(text);
    }
}

load_options read_options(const cxxopts::ParseResult& given) {
    require(given.count("target") > 0 && given.count("mix") > 0, "--target and --mix are needed");
    load_options options;
    options.targets = given["target"].as<std::vector<std::string>>();
    for (const auto& it : given["mix"].as<std::vector<std::string>>()) {
        options.mix.push_back(parse_load_kind(it));
    }
    if (given.count("config") > 0) {
        options.services = services_in(read_configuration(given["config"].as<std::string>()));
    }
    if (given.count("searchers") > 0) {
        options.searchers = given["searchers"].as<std::string>();
        require(is_loopback(options.searchers), "only loopback addresses are allowed: " + options.searchers);
    }
    for (const auto& it : options.targets) {
        require(is_loopback(it), "only loopback addresses are allowed: " + it);
    }
    options.rate_per_s = given["rate"].as<double>();
    require(options.rate_per_s > 0 && options.rate_per_s <= most_rate_per_s, "--rate is out of range");
    const double length_s = given["seconds"].as<double>();
    require(length_s > 0 && length_s <= most_seconds, "--seconds is out of range");
    options.length = duration(static_cast<duration::rep>(length_s * us_per_s));
    options.timeout = milliseconds(given["timeout-ms"].as<std::int64_t>());
    options.limit = given["limit"].as<std::size_t>();
    options.queries = given["queries"].as<std::uint64_t>();
    require(options.queries > 0, "--queries must be 1 or more");
    options.seed = given["seed"].as<std::uint64_t>();
    return options;
}

void print_progress(duration passed, const load_statistics& statistics) {
    const auto& all = statistics.all;
    std::cerr << '\r' << std::chrono::duration_cast<seconds>(passed).count() << " s: " << all.sent
              << " ended, " << all.answered << " answered, p99 " << all.latency.quantile_ms(0.99) << " ms   "
              << std::flush;
}

void write_to(const cxxopts::ParseResult& given, const std::string& option, const std::string& text) {
    if (given.count(option) == 0) {
        return;
    }
    std::ofstream file(given[option].as<std::string>());
    file << text;
    require(file.good(), "cannot write " + given[option].as<std::string>());
}

} // namespace

int run_load_command(int argc, char** argv) {
    auto usage = load_usage();
    const auto given = usage.parse(argc, argv);
    if (given.count("help") > 0) {
        std::cout << usage.help();
        return exit_done;
    }
    load_options options;
    try {
        options = read_options(given);
    } catch (const std::invalid_argument& ex) {
        std::cerr << "skylarkseam-standin load: " << ex.what() << '\n';
        return exit_usage;
    }
    const bool terminal = isatty(STDERR_FILENO) != 0;
    const auto report = run_load(options, [terminal](duration passed, const load_statistics& statistics) {
        if (terminal) {
            print_progress(passed, statistics);
        }
    });
    std::cout << (terminal ? "\n" : "") << to_text(report);
    write_to(given, "json", to_json(report));
    write_to(given, "html", to_html(report, given["title"].as<std::string>()));
    return report.statistics.wrong.empty() ? exit_done : exit_failed;
}

} // namespace skylarkseam::standin
