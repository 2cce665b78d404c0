#include <skylarkseam/core/cold_ramp.hpp>
#include <skylarkseam/core/name_table.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Number of intervals between limit increases while the searcher reports "cold" although its requests
/// succeed.
constexpr int reported_cold_delay_intervals = 10;

constexpr name_table cold_signal_names{std::array{
    named_value<cold_signal>{cold_signal::taken_over, "taken_over"},
    named_value<cold_signal>{cold_signal::returned, "returned"},
    named_value<cold_signal>{cold_signal::health_cold, "health_cold"},
    named_value<cold_signal>{cold_signal::boot_changed, "boot_changed"},
    named_value<cold_signal>{cold_signal::connection_reset, "connection_reset"},
    named_value<cold_signal>{cold_signal::shed, "shed"},
    named_value<cold_signal>{cold_signal::latency_jump, "latency_jump"},
    named_value<cold_signal>{cold_signal::unreachable, "unreachable"},
}};

} // namespace

std::string_view name_of(cold_signal signal) {
    return cold_signal_names.name_of(signal);
}

cold_ramp::cold_ramp(const cold_start& settings, std::uint32_t full_slots, time_point now) {
    set_settings(settings, full_slots);
    on_signal(cold_signal::taken_over, now);
}

void cold_ramp::set_settings(const cold_start& settings, std::uint32_t full_slots) {
    settings_ = settings;
    full_limit_ = std::max(1U, full_slots);
    settings_.slots = std::clamp(settings.slots, 1U, full_limit_);
    limit_ = cold_ ? std::clamp(limit_, settings_.slots, full_limit_) : full_limit_;
}

void cold_ramp::start_warm() {
    cold_ = false;
    limit_ = full_limit_;
}

void cold_ramp::on_signal(cold_signal signal, time_point now) {
    cold_ = true;
    limit_ = settings_.slots;
    last_signal_ = signal;
    last_signal_at_ = now;
    last_limit_change_at_ = now;
    successes_since_change_ = 0;
}

void cold_ramp::on_success(time_point sent, time_point now) {
    if (!cold_ || sent < last_signal_at_) {
        return;
    }
    ++successes_since_change_;
    if (!increase_is_due(now)) {
        return;
    }
    limit_ = std::min(full_limit_, limit_ + std::max(1U, settings_.step));
    cold_ = limit_ < full_limit_;
    last_limit_change_at_ = now;
    successes_since_change_ = 0;
}

bool cold_ramp::increase_is_due(time_point now) const {
    const bool reports_cold = reported_cold_.front() || reported_cold_.back();
    const auto wait = reports_cold ? settings_.interval * reported_cold_delay_intervals : settings_.interval;
    return successes_since_change_ >= limit_ && now >= last_limit_change_at_ + wait;
}

void cold_ramp::on_reported_state(state_source source, bool reports_cold, time_point now) {
    bool& last_report = reported_cold_.at(static_cast<std::size_t>(source));
    const bool turned_cold = reports_cold && !last_report;
    last_report = reports_cold;
    if (turned_cold) {
        on_signal(cold_signal::health_cold, now);
    }
}

std::string_view cold_ramp::last_reason() const {
    return cold_ ? name_of(last_signal_) : "warm";
}

} // namespace skylarkseam
