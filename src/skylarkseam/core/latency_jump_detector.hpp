// Detects an abrupt rise of a searcher's latency by a multiple. For a restarted searcher with empty caches,
// this is the first observable sign of the restart.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <array>
#include <cstddef>

namespace skylarkseam {

/// Compares the minimum latency of the last few answers with the long-term mean. The minimum excludes single
/// stragglers.
class latency_jump_detector {
public:
    /// Adds the service time of one answer; returns true if a jump is detected with this sample.
    bool add(duration service_time);

    [[nodiscard]] duration mean() const { return duration(static_cast<std::int64_t>(mean_us_)); }

private:
    static constexpr std::size_t window_size = 8;
    /// Number of samples required before a jump can be detected.
    static constexpr std::size_t min_samples = 32;
    static constexpr double jump_factor = 3.0;
    static constexpr double min_ewma_gain = 1.0 / 64.0;

    [[nodiscard]] duration window_minimum() const;

    std::array<duration, window_size> window_{};
    std::size_t samples_ = 0;
    double mean_us_ = 0.0;
};

} // namespace skylarkseam
