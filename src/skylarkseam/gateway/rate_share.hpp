// This host's share of the request rate that a searcher accepts from all hosts together, for the case that a
// searcher in need states a limit. The hosts do not see each other's requests, so each keeps to an equal
// part.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <optional>

namespace skylarkseam {

/// Token bucket whose rate and size follow from the searcher's limit and the number of hosts. Invariant: over
/// all hosts, the requests in any span of time are at most the limit times that span, and one burst; the
/// burst is at least one request of each host.
class rate_share {
public:
    /// Sets the limit that the searcher states.
    /// \param per_second  requests that it accepts each second from all hosts together
    /// \param first_fill  allowance at the first limit, from 0 to 1. Hosts choose it at random, so that they
    /// do not send their next requests together.
    void set_limit(double per_second, double first_fill, time_point now);
    /// The searcher no longer states a limit.
    void lift() { limit_.reset(); }

    [[nodiscard]] std::optional<double> limit() const { return limit_; }
    /// Time from which the next request is allowed; in the past if one is allowed now.
    /// \param hosts  number of hosts that share the limit
    [[nodiscard]] time_point next_at(std::uint32_t hosts, time_point now);
    /// Records a request that was sent.
    void on_sent();

private:
    std::optional<double> limit_;
    double allowance_ = 0.0; ///< Number of requests that may be sent now
    time_point refilled_at_{};
};

} // namespace skylarkseam
