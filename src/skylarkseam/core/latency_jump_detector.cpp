#include <skylarkseam/core/latency_jump_detector.hpp>

#include <algorithm>

namespace skylarkseam {

bool latency_jump::add(duration service) {
    recent_.at(samples_ % window) = service;
    ++samples_;
    const auto us = static_cast<double>(service.count());
    const bool jumped =
        samples_ > warm_up && static_cast<double>(fastest_of_window().count()) > factor * mean_us_;
    if (jumped) {
        // What follows is judged against the new level.
        mean_us_ = us;
        samples_ = 0;
        return true;
    }
    const double gain = std::max(mean_gain, 1.0 / static_cast<double>(samples_));
    mean_us_ += gain * (us - mean_us_);
    return false;
}

duration latency_jump::fastest_of_window() const {
    return *std::min_element(recent_.begin(), recent_.end());
}

} // namespace skylarkseam
