#include <skylarkseam/gateway/latency_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace skylarkseam {
namespace {

/// Number of samples from which on their median replaces the first guess.
constexpr std::size_t min_samples = 5;
/// Number of samples after which the median of a full window is computed again.
constexpr std::size_t update_interval = 16;
/// Time in which the shortest latency doubles without new minima. It is long compared with an overload, so
/// that queueing time is not taken for processing time, and short compared with changes of the searchers or
/// their work.
constexpr duration shortest_doubling_time = seconds(60);
constexpr duration min_median = microseconds(500);

// Round-trip times assumed until a connection has been opened.
// The typical one-way delays are 0.2 ms, 1 ms and 20 ms.
constexpr duration initial_same_zone_round_trip = milliseconds(1);
constexpr duration initial_same_region_round_trip = milliseconds(3);
constexpr duration initial_other_region_round_trip = milliseconds(42);
/// Limit of the increase per sample, so that a longer network path is adopted gradually.
constexpr int max_increase_percent = 5;

} // namespace

void latency_estimate::add(duration latency, time_point now) {
    const bool first = window_.size() == 0;
    window_.add(latency);
    ++since_update_;
    if (window_.size() >= min_samples && (!window_.full() || since_update_ >= update_interval)) {
        since_update_ = 0;
        median_ = std::max(min_median, window_.quantile(0.5));
    }
    if (first || latency < shortest_) {
        shortest_ = std::max(min_median, latency);
    } else {
        const auto passed =
            std::chrono::duration<double>(now - shortest_updated_at_) / shortest_doubling_time;
        shortest_ =
            duration(static_cast<std::int64_t>(static_cast<double>(shortest_.count()) * std::exp2(passed)));
    }
    shortest_updated_at_ = now;
}

void round_trips::add(const std::string& zone, duration connect_time) {
    const auto it = shortest_.find(zone);
    if (it == shortest_.end()) {
        shortest_[zone] = connect_time;
        return;
    }
    it->second = std::min(connect_time, it->second + it->second * max_increase_percent / 100);
}

duration round_trips::to(const known_searcher& it) const {
    return to(it.record.zone, it.network_distance);
}

duration round_trips::to(const std::string& zone, distance network_distance) const {
    const auto known = shortest_.find(zone);
    if (known != shortest_.end()) {
        return known->second;
    }
    switch (network_distance) {
    case distance::same_zone:
        return initial_same_zone_round_trip;
    case distance::same_region:
        return initial_same_region_round_trip;
    case distance::other_region:
        break;
    }
    return initial_other_region_round_trip;
}

} // namespace skylarkseam
