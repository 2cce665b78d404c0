// Quantiles of recent latencies in constant space: a histogram with logarithmic buckets. Halving all counts
// at a threshold reduces the weight of old samples.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <array>
#include <cstddef>

namespace skylarkseam {

/// Histogram of latencies. Each octave has 16 buckets, so a reported quantile is at most 6.25 % above the
/// exact sample.
class latency_sketch {
public:
    void add(duration value);

    /// Returns the upper edge of the bucket that contains the quantile; 0 if there are no samples.
    [[nodiscard]] duration quantile(double q) const;

    [[nodiscard]] std::uint32_t samples() const { return samples_; }

private:
    /// Binary logarithm of the number of buckets per octave (16).
    static constexpr unsigned sub_bucket_bits = 4;
    static constexpr std::size_t bucket_count = std::size_t{36} << sub_bucket_bits;
    static constexpr std::uint32_t halving_threshold = 16384; ///< Total count at which all counts are halved.

    static std::size_t bucket_of(std::uint64_t us);
    static std::uint64_t upper_edge(std::size_t bucket);
    void halve_counts();

    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint32_t samples_ = 0;
};

} // namespace skylarkseam
