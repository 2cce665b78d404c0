#include <skylarkseam/core/hedge_delay.hpp>

#include <algorithm>

namespace skylarkseam {

void hedge_delay::add(duration latency) {
    sketch_.add(latency);
    if (++samples_since_refresh_ >= refresh_interval_samples ||
        sketch_.samples() <= refresh_interval_samples) {
        refresh_cached_quantiles();
    }
}

void hedge_delay::refresh_cached_quantiles() {
    constexpr double median = 0.5;
    samples_since_refresh_ = 0;
    median_latency_ = sketch_.quantile(median);
    high_latency_ = sketch_.quantile(high_latency_quantile);
}

duration hedge_delay::delay(double budget_percent, duration fallback) const {
    constexpr duration min_delay = milliseconds(1);
    if (sketch_.samples() < min_samples) {
        return std::max(min_delay, fallback);
    }
    const double hedged_fraction = std::clamp(hedge_share_of_budget * budget_percent / 100.0, 0.0, 1.0);
    return std::max(min_delay, sketch_.quantile(1.0 - hedged_fraction));
}

} // namespace skylarkseam
