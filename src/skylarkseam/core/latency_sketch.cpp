#include <skylarkseam/core/latency_sketch.hpp>

#include <algorithm>
#include <bit>

namespace skylarkseam {

std::size_t latency_sketch::bucket_of(std::uint64_t us) {
    constexpr std::uint64_t linear = std::uint64_t{1} << sub_bucket_bits;
    if (us < linear) {
        return static_cast<std::size_t>(us);
    }
    const auto octave = static_cast<unsigned>(std::bit_width(us)) - 1 - sub_bucket_bits;
    const auto within = static_cast<std::size_t>((us >> octave) - linear);
    return std::min(bucket_count - 1, ((std::size_t{octave} + 1) << sub_bucket_bits) + within);
}

std::uint64_t latency_sketch::upper_edge(std::size_t bucket) {
    constexpr std::size_t linear = std::size_t{1} << sub_bucket_bits;
    if (bucket < linear) {
        return bucket;
    }
    const auto octave = (bucket >> sub_bucket_bits) - 1;
    const auto within = bucket & (linear - 1);
    return ((std::uint64_t{linear} + within + 1) << octave) - 1;
}

void latency_sketch::add(duration value) {
    ++counts_.at(bucket_of(static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count()))));
    if (++samples_ >= halving_threshold) {
        halve_counts();
    }
}

void latency_sketch::halve_counts() {
    samples_ = 0;
    for (auto& n : counts_) {
        n /= 2;
        samples_ += n;
    }
}

duration latency_sketch::quantile(double q) const {
    if (samples_ == 0) {
        return duration::zero();
    }
    const auto rank = static_cast<std::uint32_t>(q * static_cast<double>(samples_ - 1));
    std::uint32_t seen = 0;
    for (std::size_t n = 0; n < bucket_count; ++n) {
        seen += counts_.at(n);
        if (seen > rank) {
            return duration(static_cast<std::int64_t>(upper_edge(n)));
        }
    }
    return duration(static_cast<std::int64_t>(upper_edge(bucket_count - 1)));
}

} // namespace skylarkseam
