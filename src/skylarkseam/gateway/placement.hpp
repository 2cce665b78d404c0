// Which searcher of a service gets a request. Answers the load pattern in which some searchers of a service
// pause, turn slow, refuse, fall silent or are far away, while each host sees only its own requests.
#pragma once

#include <skylarkseam/gateway/directory.hpp>
#include <skylarkseam/gateway/host_census.hpp>
#include <skylarkseam/gateway/latency_estimate.hpp>
#include <skylarkseam/gateway/routing.hpp>

#include <pcg_random.hpp>

#include <span>

namespace skylarkseam {

/// What one choice depends on besides the searchers themselves.
struct placement_request {
    const gateway_service* service = nullptr;
    std::span<const std::string> home_regions;    ///< empty: any
    std::span<const known_searcher* const> tried; ///< not to be picked again
    duration usual{};                             ///< latency of such a request
    duration objective{};                         ///< of the client's whole request
    host_counts hosts;                            ///< that share the searcher's connections
    time_point now{};
};

enum class placement_outcome {
    found,
    full, ///< there are searchers, but none has room now
    down, ///< there are searchers, but all have a fault and are not to be tried yet
    none, ///< no searcher may get the request
};

struct placement_choice {
    placement_outcome outcome = placement_outcome::none;
    known_searcher_ptr target;
    duration expected{}; ///< until its answer is here; where none has room, of one that is sent at the best
    bool probe = false;  ///< it has a fault, and this request finds out whether it is over
    std::uint32_t room =
        0; ///< where none has room: requests that may be open at those that are full, at most
};

class placement {
public:
    placement(const directory& searchers, const round_trips& trips, std::uint64_t seed)
        : searchers_(searchers)
        , trips_(trips)
        , random_(seed) {}

    [[nodiscard]] placement_choice pick(const placement_request& request);

    /// When the answer of `it` is expected for a request that is sent now.
    [[nodiscard]] duration expected(const known_searcher& it, const placement_request& request) const;

    /// Requests that this host may have open at a searcher. Clients come in through all zones alike, so each
    /// zone has an equal part, whether few hosts share it or many.
    [[nodiscard]] static std::uint32_t connection_share(const gateway_service* service,
                                                        const host_counts& hosts);

private:
    const directory& searchers_;
    const round_trips& trips_;
    pcg32 random_;
};

} // namespace skylarkseam
