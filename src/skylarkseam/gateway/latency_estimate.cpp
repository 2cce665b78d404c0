#include <skylarkseam/gateway/latency_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace skylarkseam {
namespace {

constexpr std::uint32_t first_samples = 16; ///< while so few are known, each moves the median further
constexpr std::int64_t coarse_step = 5;     ///< 1/5 of the median a sample at first
constexpr std::int64_t fine_step = 32;      ///< 1/32 later
/// Slow against an overload, so that its queues are not taken for the work itself; fast against a change of
/// what searchers are or do.
constexpr duration shortest_doubles = seconds(60);
constexpr duration least_median = microseconds(500);

// Taken until a connection has been opened; the usual one-way delays are 0.2 ms, 1 ms and 20 ms.
constexpr duration same_zone_guess = milliseconds(1);
constexpr duration same_region_guess = milliseconds(3);
constexpr duration other_region_guess = milliseconds(42);
constexpr int drift_percent = 5; ///< a route that has become longer is believed step by step

} // namespace

void latency_estimate::add(duration latency, time_point now) {
    const auto divisor = samples_ < first_samples ? coarse_step : fine_step;
    ++samples_;
    const auto step = std::max(duration(1), median_ / divisor);
    median_ = std::max(least_median, latency > median_ ? median_ + step : median_ - step);
    if (samples_ == 1 || latency < shortest_) {
        shortest_ = std::max(least_median, latency);
    } else {
        const auto passed = std::chrono::duration<double>(now - shortest_at_) / shortest_doubles;
        shortest_ =
            duration(static_cast<std::int64_t>(static_cast<double>(shortest_.count()) * std::exp2(passed)));
    }
    shortest_at_ = now;
}

void round_trips::add(const std::string& zone, duration connect_time) {
    const auto it = shortest_.find(zone);
    if (it == shortest_.end()) {
        shortest_[zone] = connect_time;
        return;
    }
    it->second = std::min(connect_time, it->second + it->second * drift_percent / 100);
}

duration round_trips::to(const known_searcher& it) const {
    const auto known = shortest_.find(it.record.zone);
    if (known != shortest_.end()) {
        return known->second;
    }
    switch (it.far) {
    case distance::same_zone:
        return same_zone_guess;
    case distance::same_region:
        return same_region_guess;
    case distance::other_region:
        break;
    }
    return other_region_guess;
}

} // namespace skylarkseam
