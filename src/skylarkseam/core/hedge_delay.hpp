// When to hedge: observed latencies of a group, and the delay after which so few attempts are still open that
// the extra-load budget covers a second attempt for each of them.
#pragma once

#include <skylarkseam/core/latency_sketch.hpp>

namespace skylarkseam {

class hedge_delay {
public:
    void add(duration latency);

    /// Median of what was observed; 0 before the first observation.
    [[nodiscard]] duration usual() const { return usual_; }

    /// \param percent   the budget
    /// \param fallback  while too little was observed
    [[nodiscard]] duration delay(double percent, duration fallback) const;

    /// High latency that an attempt may still take; 0 before the first observation.
    [[nodiscard]] duration slow() const { return slow_; }

private:
    static constexpr std::uint32_t fewest_samples = 100;
    static constexpr std::uint32_t refresh_interval = 64; ///< samples between updates of the cached quantiles
    static constexpr double part_of_budget = 0.7;         ///< the rest is left for retries
    static constexpr double slow_quantile = 0.95;

    void refresh();

    latency_sketch sketch_;
    std::uint32_t since_refresh_ = 0;
    duration usual_{};
    duration slow_{};
};

} // namespace skylarkseam
