// The latest samples of a duration, and their quantiles.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace skylarkseam {

/// Invariant: holds the latest samples, `capacity` at most.
class sample_window {
public:
    explicit sample_window(std::size_t capacity)
        : capacity_(capacity) {}

    void add(duration sample) {
        if (samples_.size() < capacity_) {
            samples_.push_back(sample);
            return;
        }
        samples_[oldest_] = sample;
        oldest_ = (oldest_ + 1) % capacity_;
    }

    [[nodiscard]] std::size_t size() const { return samples_.size(); }
    [[nodiscard]] bool full() const { return samples_.size() == capacity_; }

    /// The sample below which the share `q` of the samples lies. There must be a sample.
    [[nodiscard]] duration quantile(double q) const {
        auto sorted = samples_;
        const auto rank = static_cast<std::ptrdiff_t>(q * static_cast<double>(sorted.size()));
        const auto it = sorted.begin() + std::min(rank, std::ssize(sorted) - 1);
        std::nth_element(sorted.begin(), it, sorted.end());
        return *it;
    }

private:
    std::size_t capacity_;
    std::size_t oldest_ = 0; ///< Index of the oldest sample once the window is full
    std::vector<duration> samples_;
};

} // namespace skylarkseam
