// How one searcher has answered a coordinator lately; what it says of itself plays no part.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace skylarkseam {

/// Expected latency from observed latency, work outstanding and failures. Old observations lose their weight,
/// so that a replica that was slow once is tried again.
class replica_stats {
public:
    /// \param caller  hash of the caller's name
    void on_sent(std::uint64_t caller) {
        const auto at = find(caller);
        if (at == outstanding_.end()) {
            outstanding_.push_back({caller, 1});
        } else {
            ++at->attempts;
        }
    }

    /// An attempt was served in `latency`, or was given up when it had taken that long. Time in the owner's
    /// queue does not count: it depends on the caller, not on the searcher.
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
    void on_ended(std::uint64_t caller) {
        const auto at = find(caller);
        if (at != outstanding_.end() && --at->attempts == 0) {
            *at = outstanding_.back();
            outstanding_.pop_back();
        }
    }

    /// The owner's queue serves callers in turns, so another caller counts once however much it has sent.
    /// \param usual  latency of the group, taken for a replica without recent observations
    [[nodiscard]] double expected_us(duration usual, time_point now, std::uint64_t caller) const {
        const auto typical = static_cast<double>(usual.count());
        const bool recent = latency_us_ > 0.0 && now < last_seen_ + memory;
        const double base = recent ? latency_us_ : typical;
        const double failing = recent ? failure_part_ : 0.0;
        double ahead = 0.0;
        for (const auto& it : outstanding_) {
            ahead += it.caller == caller ? static_cast<double>(it.attempts) : 1.0;
        }
        return (base + 1.0) * (1.0 + ahead) * (1.0 + failure_weight * failing);
    }

private:
    struct caller_load {
        std::uint64_t caller = 0;
        std::uint32_t attempts = 0; ///< above 0
    };

    std::vector<caller_load>::iterator find(std::uint64_t caller) {
        return std::find_if(outstanding_.begin(), outstanding_.end(),
                            [&](const auto& it) { return it.caller == caller; });
    }

    static constexpr double gain = 1.0 / 8.0;
    static constexpr double failure_gain = 1.0 / 4.0;
    static constexpr double failure_weight = 20.0;
    static constexpr duration memory = seconds(2);

    double latency_us_ = 0.0;
    double failure_part_ = 0.0;
    std::vector<caller_load> outstanding_; ///< by caller
    time_point last_seen_{};
};

} // namespace skylarkseam
