// Chooses the searcher of a service for a request, for the case that some searchers pause, become slow,
// refuse requests, stop responding or are far away, while each host sees only its own requests.
#pragma once

#include <skylarkseam/gateway/directory.hpp>
#include <skylarkseam/gateway/host_census.hpp>
#include <skylarkseam/gateway/latency_estimate.hpp>
#include <skylarkseam/gateway/routing.hpp>

#include <pcg_random.hpp>

#include <span>

namespace skylarkseam {

/// Whether a faulty searcher whose probe is due may get the request.
enum class probe_rule {
    none,    ///< Never.
    allowed, ///< If its expected latency is the lowest.
    wanted,  ///< Before any other searcher.
};

/// Inputs of one choice besides the searchers themselves.
struct placement_request {
    const gateway_service* service = nullptr;
    std::span<const std::string> home_regions;    ///< Regions that are allowed; empty if all are.
    std::span<const known_searcher* const> tried; ///< Searchers that must not be chosen again.
    duration typical_latency{};                   ///< Median latency of the route at a searcher.
    duration objective{};                         ///< Latency objective of the client's whole request.
    probe_rule probes = probe_rule::allowed;
    /// True if searchers with a request that may crash them are left out.
    bool without_suspects = false;
    host_counts hosts; ///< Numbers of hosts that share the searcher's connections.
    time_point now{};
};

enum class placement_outcome {
    found,
    full,        ///< There are searchers, but none has a free connection slot now.
    backing_off, ///< Every usable searcher accepts no requests for some time.
    down,        ///< There are searchers, but all are faulty and none is due for a probe.
    none,        ///< No searcher may get the request.
};

struct placement_choice {
    placement_outcome outcome = placement_outcome::none;
    known_searcher_ptr target;
    /// Time until the answer is expected; if the outcome is `full`, the lowest time for a request sent to a
    /// searcher without a queue.
    duration expected_latency{};
    bool probe = false; ///< True if the searcher is faulty and this request is its probe.
    /// True if a faulty searcher was due for a probe that the request did not allow.
    bool probe_due = false;
    /// Maximum number of open requests at the searchers without a free slot, if the outcome is `full`.
    std::uint32_t max_open = 0;
    /// Time at which the first searcher accepts requests again that is backing off or has had this host's
    /// share of its rate; set if the outcome is `backing_off`.
    time_point available_at{};
};

class placement {
public:
    placement(const directory& searchers, const round_trips& round_trip_times, std::uint64_t seed)
        : searchers_(searchers)
        , round_trips_(round_trip_times)
        , random_(seed) {}

    [[nodiscard]] placement_choice pick(const placement_request& request);

    /// Time until `it` is expected to answer a request that is sent now.
    [[nodiscard]] duration expected_latency(const known_searcher& it, const placement_request& request) const;

    /// Number of requests that this host may have open at a searcher. Clients use all zones equally, so each
    /// zone has an equal share, whatever its number of hosts.
    [[nodiscard]] static std::uint32_t connection_share(const gateway_service* service,
                                                        const host_counts& hosts);

private:
    const directory& searchers_;
    const round_trips& round_trips_;
    pcg32 random_;
};

} // namespace skylarkseam
