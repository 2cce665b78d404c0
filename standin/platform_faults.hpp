// Faults of the platform that a test sets at run time, and the limit on its calls. Pure.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <algorithm>

namespace skylarkseam::standin {

/// What the platform does with calls while it is in an outage.
enum class outage { none, refuses, silent };

struct platform_faults {
    outage down = outage::none;
    duration latency{};      ///< added to each answer
    double lose_answers = 0; ///< part of the changes whose answer is lost after they took effect, 0 to 1
    duration watch_lag{};    ///< how long after a change watches and the host list show it
    double calls_per_s = 0;  ///< limit on all calls; 0: the platform's own limits on reads and writes
};

/// A token bucket. Invariant: never lets more than burst + rate * time calls pass.
class call_limiter {
public:
    explicit call_limiter(double per_second)
        : rate_(per_second)
        , tokens_(burst()) {}

    /// Whether a call at `now` is within the limit; counts it if so.
    bool admit(time_point now) {
        const double elapsed_s = std::chrono::duration<double>(now - last_).count();
        tokens_ = std::min(burst(), tokens_ + std::max(0.0, elapsed_s) * rate_);
        last_ = now;
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    static constexpr double burst_s = 0.25; ///< seconds of the rate that may come at once

    [[nodiscard]] double burst() const { return std::max(1.0, rate_ * burst_s); }

    double rate_;
    double tokens_;
    time_point last_{};
};

} // namespace skylarkseam::standin
