// Sends the planned requests to the nodes over loopback and judges what comes back. It plays the balancer
// too: nodes take turns, and one whose /healthz is not 200 is left out.
#pragma once

#include "standin/answer_check.hpp"
#include "standin/load_plan.hpp"
#include "standin/load_statistics.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam::standin {

struct load_options {
    std::vector<std::string> targets; ///< callers' addresses of the nodes, ip:port
    std::vector<load_kind> mix;
    std::map<std::string, load_service> services; ///< empty: hits are not computed
    double rate_per_s = 50.0;
    duration length = seconds(10);
    duration timeout = seconds(10); ///< of one request
    std::size_t limit = 10;         ///< hits asked for
    std::uint64_t queries = 1000;   ///< different queries
    std::uint64_t seed = 1;
    std::string searchers; ///< control address of the searchers; empty: their load is not read
};

/// Sums over all searchers.
struct upstream_load {
    std::uint64_t started = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled_running = 0;
    std::uint64_t cold_violations = 0;
    std::uint64_t cold_violations_after_sign = 0;
    std::uint64_t arrivals_while_out = 0;
    std::uint64_t most_runs_of_a_key = 0;
};

struct load_report {
    load_statistics statistics;
    std::optional<upstream_load> upstreams; ///< during the run
};

/// Whether an address is on the loopback network, the only one that the tool sends to.
[[nodiscard]] bool is_loopback(const std::string& address);

/// \param on_progress  called about once a second with the time passed and the figures so far
/// Throws std::runtime_error where no node can be reached.
[[nodiscard]] load_report run_load(const load_options& options,
                                   const std::function<void(duration, const load_statistics&)>& on_progress);

} // namespace skylarkseam::standin
