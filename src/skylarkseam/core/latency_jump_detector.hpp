// Notices that a searcher's answers have become several times slower at once, which a restarted searcher with
// empty caches shows before anything else does.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <array>
#include <cstddef>

namespace skylarkseam {

/// Compares the fastest of the last few answers with the long-term mean, so that single stragglers do not
/// count.
class latency_jump {
public:
    /// Takes the service time of one answer; true if it completes a jump.
    bool add(duration service);

    [[nodiscard]] duration mean() const { return duration(static_cast<std::int64_t>(mean_us_)); }

private:
    static constexpr std::size_t window = 8;
    static constexpr std::size_t warm_up = 32; ///< answers before a jump can be told
    static constexpr double factor = 3.0;
    static constexpr double mean_gain = 1.0 / 64.0;

    [[nodiscard]] duration fastest_of_window() const;

    std::array<duration, window> recent_{};
    std::size_t samples_ = 0;
    double mean_us_ = 0.0;
};

} // namespace skylarkseam
