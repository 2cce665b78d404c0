// How one searcher has answered a coordinator lately; what it says of itself plays no part.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace skylarkseam {

/// Expected latency from observed latency, work outstanding and failures. Old observations lose their weight,
/// so that a replica that was slow once is tried again.
class replica_stats {
public:
    void on_sent() { ++outstanding_; }

    /// An attempt ended well after `latency`, or was given up when it had taken that long.
    void on_latency(duration latency, time_point now) {
        const auto us = static_cast<double>(latency.count());
        latency_us_ = latency_us_ == 0.0 ? us : latency_us_ + gain * (us - latency_us_);
        last_seen_ = now;
    }
    void on_success() { failure_part_ -= failure_gain * failure_part_; }
    void on_failure(time_point now) {
        failure_part_ += failure_gain * (1.0 - failure_part_);
        last_seen_ = now;
    }
    void on_ended() { outstanding_ -= std::min(outstanding_, 1U); }

    /// \param usual  latency of the group, taken for a replica without recent observations
    [[nodiscard]] double expected_us(duration usual, time_point now) const {
        const auto typical = static_cast<double>(usual.count());
        const bool recent = latency_us_ > 0.0 && now < last_seen_ + memory;
        const double base = recent ? latency_us_ : typical;
        const double failing = recent ? failure_part_ : 0.0;
        return (base + 1.0) * (1.0 + static_cast<double>(outstanding_)) * (1.0 + failure_weight * failing);
    }

    [[nodiscard]] std::uint32_t outstanding() const { return outstanding_; }

private:
    static constexpr double gain = 1.0 / 8.0;
    static constexpr double failure_gain = 1.0 / 4.0;
    static constexpr double failure_weight = 20.0;
    static constexpr duration memory = seconds(2);

    double latency_us_ = 0.0;
    double failure_part_ = 0.0;
    std::uint32_t outstanding_ = 0;
    time_point last_seen_{};
};

} // namespace skylarkseam
