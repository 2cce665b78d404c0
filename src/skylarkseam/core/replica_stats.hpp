// A coordinator's own recent measurements of one searcher. The state that the searcher reports is not used.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace skylarkseam {

/// Estimate of a replica's latency from its observed latency, outstanding attempts and failures. Old
/// observations expire, which lets a replica that was slow be selected again.
class replica_stats {
public:
    /// Records that an attempt was sent to the replica.
    /// \param caller  hash of the caller's name
    void on_sent(std::uint64_t caller) {
        const auto at = find(caller);
        if (at == outstanding_.end()) {
            outstanding_.push_back({caller, 1});
        } else {
            ++at->attempts;
        }
    }

    /// Records that an attempt was answered after `latency`, or was abandoned after that time. Time in the
    /// owner's queue is excluded, because it depends on the caller and not on the searcher.
    void on_latency(duration latency, time_point now) {
        const auto us = static_cast<double>(latency.count());
        latency_us_ = latency_us_ == 0.0 ? us : latency_us_ + latency_gain * (us - latency_us_);
        last_observed_at_ = now;
    }
    void on_success() { failure_rate_ -= failure_gain * failure_rate_; }
    void on_failure(time_point now) {
        failure_rate_ += failure_gain * (1.0 - failure_rate_);
        last_observed_at_ = now;
    }
    void on_ended(std::uint64_t caller) {
        const auto at = find(caller);
        if (at != outstanding_.end() && --at->attempts == 0) {
            *at = outstanding_.back();
            outstanding_.pop_back();
        }
    }

    /// Returns the expected latency of a new attempt in microseconds. The owner's queue serves callers round
    /// robin, so each other caller counts as one outstanding attempt.
    ///
    /// \param group_latency  latency of the group, used for a replica without recent observations
    [[nodiscard]] double expected_us(duration group_latency, time_point now, std::uint64_t caller) const {
        const auto group_latency_us = static_cast<double>(group_latency.count());
        const bool has_recent = latency_us_ > 0.0 && now < last_observed_at_ + observation_lifetime;
        const double latency_us = has_recent ? latency_us_ : group_latency_us;
        const double failure_rate = has_recent ? failure_rate_ : 0.0;
        double queued_ahead = 0.0;
        for (const auto& it : outstanding_) {
            queued_ahead += it.caller == caller ? static_cast<double>(it.attempts) : 1.0;
        }
        return (latency_us + 1.0) * (1.0 + queued_ahead) * (1.0 + failure_penalty * failure_rate);
    }

private:
    struct caller_load {
        std::uint64_t caller = 0;
        std::uint32_t attempts = 0; ///< Number of outstanding attempts; greater than 0.
    };

    std::vector<caller_load>::iterator find(std::uint64_t caller) {
        return std::find_if(outstanding_.begin(), outstanding_.end(),
                            [&](const auto& it) { return it.caller == caller; });
    }

    static constexpr double latency_gain = 1.0 / 8.0;
    static constexpr double failure_gain = 1.0 / 4.0;
    static constexpr double failure_penalty = 20.0;
    static constexpr duration observation_lifetime = seconds(2);

    double latency_us_ = 0.0;
    double failure_rate_ = 0.0;
    std::vector<caller_load> outstanding_; ///< Outstanding attempts per caller; unordered.
    time_point last_observed_at_{};
};

} // namespace skylarkseam
