#include <skylarkseam/core/cold_ramp.hpp>
#include <skylarkseam/core/name_table.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// How many intervals a searcher that says "cold" while it serves well can delay a rise.
constexpr int stated_cold_delay_intervals = 10;

constexpr name_table cold_sign_names{std::array{
    named_value<cold_sign>{cold_sign::taken_over, "taken_over"},
    named_value<cold_sign>{cold_sign::returned, "returned"},
    named_value<cold_sign>{cold_sign::health_cold, "health_cold"},
    named_value<cold_sign>{cold_sign::boot_changed, "boot_changed"},
    named_value<cold_sign>{cold_sign::connection_reset, "connection_reset"},
    named_value<cold_sign>{cold_sign::shed, "shed"},
    named_value<cold_sign>{cold_sign::latency_jump, "latency_jump"},
    named_value<cold_sign>{cold_sign::unreachable, "unreachable"},
}};

} // namespace

std::string_view name_of(cold_sign sign) {
    return cold_sign_names.name_of(sign);
}

cold_ramp::cold_ramp(const cold_start& rule, std::uint32_t full_slots, time_point now) {
    set_rule(rule, full_slots);
    on_sign(cold_sign::taken_over, now);
}

void cold_ramp::set_rule(const cold_start& rule, std::uint32_t full_slots) {
    rule_ = rule;
    full_ = std::max(1U, full_slots);
    rule_.slots = std::clamp(rule.slots, 1U, full_);
    limit_ = cold_ ? std::clamp(limit_, rule_.slots, full_) : full_;
}

void cold_ramp::start_warm() {
    cold_ = false;
    limit_ = full_;
}

void cold_ramp::on_sign(cold_sign sign, time_point now) {
    cold_ = true;
    limit_ = rule_.slots;
    reason_ = sign;
    last_sign_ = now;
    last_change_ = now;
    successes_ = 0;
}

void cold_ramp::on_success(time_point sent, time_point now) {
    if (!cold_ || sent < last_sign_) {
        return;
    }
    ++successes_;
    if (!rise_is_due(now)) {
        return;
    }
    limit_ = std::min(full_, limit_ + std::max(1U, rule_.step));
    cold_ = limit_ < full_;
    last_change_ = now;
    successes_ = 0;
}

bool cold_ramp::rise_is_due(time_point now) const {
    const bool says_cold = says_cold_.front() || says_cold_.back();
    const auto wait = says_cold ? rule_.interval * stated_cold_delay_intervals : rule_.interval;
    return successes_ >= limit_ && now >= last_change_ + wait;
}

void cold_ramp::on_stated_state(state_source source, bool says_cold, time_point now) {
    bool& said = says_cold_.at(static_cast<std::size_t>(source));
    const bool turned_cold = says_cold && !said;
    said = says_cold;
    if (turned_cold) {
        on_sign(cold_sign::health_cold, now);
    }
}

std::string_view cold_ramp::last_reason() const {
    return cold_ ? name_of(reason_) : "warm";
}

} // namespace skylarkseam
