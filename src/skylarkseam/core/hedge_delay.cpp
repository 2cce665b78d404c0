#include <skylarkseam/core/hedge_delay.hpp>

#include <algorithm>

namespace skylarkseam {

void hedge_delay::add(duration latency) {
    sketch_.add(latency);
    if (++since_refresh_ >= refresh_interval || sketch_.samples() <= refresh_interval) {
        refresh();
    }
}

void hedge_delay::refresh() {
    constexpr double median = 0.5;
    since_refresh_ = 0;
    usual_ = sketch_.quantile(median);
    slow_ = sketch_.quantile(slow_quantile);
}

duration hedge_delay::delay(double percent, duration fallback) const {
    constexpr duration shortest = milliseconds(1);
    if (sketch_.samples() < fewest_samples) {
        return std::max(shortest, fallback);
    }
    const double expected_part = std::clamp(part_of_budget * percent / 100.0, 0.0, 1.0);
    return std::max(shortest, sketch_.quantile(1.0 - expected_part));
}

} // namespace skylarkseam
