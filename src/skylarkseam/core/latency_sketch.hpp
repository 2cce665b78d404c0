// Quantiles of recent latencies in constant space: counts in logarithmic buckets, halved as samples come in.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <array>
#include <cstddef>

namespace skylarkseam {

/// Buckets are 1/16 of an octave wide, so a quantile is at most 6.25 % above the sample that it stands for.
class latency_sketch {
public:
    void add(duration value);

    /// Upper edge of the bucket that holds the quantile; 0 while there are no samples.
    [[nodiscard]] duration quantile(double q) const;

    [[nodiscard]] std::uint32_t samples() const { return samples_; }

private:
    static constexpr unsigned sub_bits = 4; ///< 16 buckets an octave
    static constexpr std::size_t bucket_count = std::size_t{36} << sub_bits;
    static constexpr std::uint32_t window = 16384; ///< samples after which all counts are halved

    static std::size_t bucket_of(std::uint64_t us);
    static std::uint64_t upper_edge(std::size_t bucket);
    void halve();

    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint32_t samples_ = 0;
};

} // namespace skylarkseam
