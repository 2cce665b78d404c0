// Circuit breaker for one searcher: stops requests after repeated failures and then sends single trial
// requests after a growing backoff.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>

namespace skylarkseam {

/// Opens after `failure_threshold` consecutive failures and closes on the first success.
class circuit_breaker {
public:
    /// Returns whether a request may be sent at `now`. An open breaker allows one trial request after each
    /// backoff.
    [[nodiscard]] bool allows(time_point now) const;

    /// Records that a request is sent. If the breaker is open, this is the trial request, and further
    /// requests are blocked until it succeeds or another backoff has passed.
    void on_send(time_point now);

    void on_success();
    void on_failure(time_point now);

    [[nodiscard]] bool open() const { return consecutive_failures_ >= failure_threshold; }
    [[nodiscard]] time_point retry_at() const { return retry_at_; }

private:
    /// Number of consecutive failures that open the breaker.
    static constexpr std::uint32_t failure_threshold = 5;
    static constexpr duration initial_backoff = milliseconds(200);
    static constexpr duration max_backoff = seconds(5);

    std::uint32_t consecutive_failures_ = 0;
    duration backoff_ = initial_backoff;
    time_point retry_at_{}; ///< Time of the next trial request; used only while the breaker is open.
};

} // namespace skylarkseam
