// Delay before a hedged request, from the observed latencies of a group. After this delay, the share of
// attempts that are still open is small enough for the extra-load budget to cover a second attempt for each.
#pragma once

#include <skylarkseam/core/latency_sketch.hpp>

namespace skylarkseam {

/// Latency quantiles of a group and the hedge delay that follows from them.
class hedge_delay {
public:
    void add(duration latency);

    /// Returns the median of the observed latencies; 0 before the first sample.
    [[nodiscard]] duration median_latency() const { return median_latency_; }

    /// Returns the delay after which an open attempt is hedged.
    ///
    /// \param budget_percent  extra-load budget in percent of the first attempts
    /// \param fallback        delay to use until there are enough samples
    [[nodiscard]] duration delay(double budget_percent, duration fallback) const;

    /// Returns the 95th percentile of the observed latencies; 0 before the first sample.
    [[nodiscard]] duration high_latency() const { return high_latency_; }

private:
    static constexpr std::uint32_t min_samples = 100;
    /// Number of samples between updates of the cached quantiles.
    static constexpr std::uint32_t refresh_interval_samples = 64;
    /// Fraction of the budget for hedges; the rest is reserved for retries.
    static constexpr double hedge_share_of_budget = 0.7;
    static constexpr double high_latency_quantile = 0.95;

    void refresh_cached_quantiles();

    latency_sketch sketch_;
    std::uint32_t samples_since_refresh_ = 0;
    duration median_latency_{};
    duration high_latency_{};
};

} // namespace skylarkseam
