#include <skylarkseam/core/latency_jump_detector.hpp>

#include <algorithm>

namespace skylarkseam {

bool latency_jump_detector::add(duration service_time) {
    window_.at(samples_ % window_size) = service_time;
    ++samples_;
    const auto us = static_cast<double>(service_time.count());
    const bool jumped =
        samples_ > min_samples && static_cast<double>(window_minimum().count()) > jump_factor * mean_us_;
    if (jumped) {
        // Later samples are compared with the new level.
        mean_us_ = us;
        samples_ = 0;
        return true;
    }
    const double gain = std::max(min_ewma_gain, 1.0 / static_cast<double>(samples_));
    mean_us_ += gain * (us - mean_us_);
    return false;
}

duration latency_jump_detector::window_minimum() const {
    return *std::min_element(window_.begin(), window_.end());
}

} // namespace skylarkseam
