#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/gateway/known_searcher.hpp>

namespace skylarkseam {
namespace {

/// A searcher that becomes slow is detected within a few answers.
constexpr double slowness_ewma_weight = 1.0 / 4.0;
constexpr double max_window = 1000.0; ///< Larger than any host's share of the connections.
/// Factor on the number of open requests after an answer that came too late.
constexpr double window_decrease_factor = 0.8;
constexpr double failure_rate_ewma_weight = 1.0 / 8.0;
/// Failure rate assumed of a searcher whose fault has ended, as after one failure among several answers.
constexpr double recovered_failure_rate = 1.0 / 8.0;
/// Upper bound of a single answer's latency ratio while the slowness is small.
constexpr double min_outlier_cap = 4.0;
/// Upper bound of a single answer's latency ratio as a multiple of the current slowness.
constexpr double outlier_cap_factor = 2.0;
constexpr double min_slowness = 0.25;
constexpr double max_slowness = 40.0;
/// Time without an ended attempt after which the observed slowness is discarded.
constexpr duration observation_ttl = seconds(3);
constexpr duration min_probe_interval = milliseconds(300);
constexpr duration max_probe_interval = milliseconds(1200);
/// A single failed request is not enough to assume a fault.
constexpr std::uint32_t failures_before_fault = 2;
/// Multiple of the typical latency after which a searcher counts as stalled; longer than a slow request
/// takes.
constexpr double stall_latency_factor = 4.0;
constexpr duration min_stall_time = milliseconds(12);

constexpr name_table fault_names{std::array{
    named_value<searcher_fault>{searcher_fault::none, "none"},
    named_value<searcher_fault>{searcher_fault::silent, "silent"},
    named_value<searcher_fault>{searcher_fault::failing, "failing"},
    named_value<searcher_fault>{searcher_fault::unreachable, "unreachable"},
    named_value<searcher_fault>{searcher_fault::replaced, "replaced"},
}};

} // namespace

std::string_view name_of(searcher_fault fault) {
    return fault_names.name_of(fault);
}

void known_searcher::on_sent(attempt_id id, time_point now, duration typical_latency, bool suspected) {
    const bool alone = !suspected || !has_suspected_request();
    for (auto& it : open) {
        it.alone = it.alone && (alone || !it.suspected);
    }
    open.push_back({id, now, typical_latency, suspected, alone});
    if (fault != searcher_fault::none) {
        probe_at = now + probe_interval;
    }
    cold_allowance = std::max(0.0, cold_allowance - 1.0);
    rate.on_sent();
}

bool known_searcher::is_accountable(attempt_id id) const {
    const auto it = std::find_if(open.begin(), open.end(), [id](const auto& one) { return one.id == id; });
    return it != open.end() && it->alone;
}

void known_searcher::refill_cold_allowance(double per_second, double first_fill, time_point now) {
    if (cold_allowance_at) {
        const auto passed = std::chrono::duration<double>(now - *cold_allowance_at).count();
        cold_allowance = std::min(1.0, cold_allowance + passed * per_second);
    } else {
        cold_allowance = first_fill;
    }
    cold_allowance_at = now;
}

bool known_searcher::on_ended(attempt_id id) {
    const auto it = std::find_if(open.begin(), open.end(), [id](const auto& one) { return one.id == id; });
    if (it == open.end()) {
        return false;
    }
    open.erase(it);
    return true;
}

void known_searcher::on_answer(duration latency, duration typical_latency, time_point sent,
                               duration overload_latency, time_point now) {
    const double ratio = static_cast<double>(std::max(latency, microseconds(100)).count()) /
                         static_cast<double>(std::max(typical_latency, microseconds(500)).count());
    if (now - last_ended > observation_ttl) {
        slowness = 1.0;
    }
    // Cap a single answer that was delayed by a pause, so that it does not make the searcher look slow.
    const double bounded = std::min(ratio, std::max(min_outlier_cap, outlier_cap_factor * slowness));
    slowness = std::clamp(slowness + slowness_ewma_weight * (bounded - slowness), min_slowness, max_slowness);
    failure_rate -= failure_rate_ewma_weight * failure_rate;
    if (fault != searcher_fault::none) {
        // The failures before belong to a fault that has ended.
        failure_rate = std::min(failure_rate, recovered_failure_rate);
    }
    consecutive_failures = 0;
    if (latency <= overload_latency) {
        window = std::min(max_window, window + (window < slow_start_threshold ? 1.0 : 1.0 / window));
    } else if (sent >= window_reduced_at) {
        window =
            std::max(1.0, window_decrease_factor * std::min(window, static_cast<double>(open.size()) + 1.0));
        slow_start_threshold = window;
        window_reduced_at = now;
    }
    last_answer = now;
    last_ended = now;
    fault = searcher_fault::none;
    probe_interval = duration::zero();
}

void known_searcher::on_refused(time_point now) {
    failure_rate += failure_rate_ewma_weight * (1.0 - failure_rate);
    last_answer = now;
    last_ended = now;
}

void known_searcher::on_failure(searcher_fault kind, time_point now) {
    failure_rate += failure_rate_ewma_weight * (1.0 - failure_rate);
    last_ended = now;
    ++consecutive_failures;
    window = std::max(1.0, window / 2.0);
    if (kind == searcher_fault::failing && consecutive_failures < failures_before_fault) {
        return;
    }
    fault = kind;
    probe_interval = std::clamp(probe_interval * 2, min_probe_interval, max_probe_interval);
    probe_at = now + probe_interval;
}

void known_searcher::forget_fault() {
    fault = searcher_fault::none;
    failure_rate = std::min(failure_rate, recovered_failure_rate);
    consecutive_failures = 0;
    probe_interval = duration::zero();
}

bool known_searcher::on_leaving_announced(time_point now) {
    if (announced_leaving) {
        return false;
    }
    announced_leaving = true;
    leaving = leaving.value_or(now);
    return true;
}

bool known_searcher::on_back_off(duration time, time_point now) {
    const bool known = backing_off(now);
    back_off_until = std::max(back_off_until, now + time);
    last_answer = now;
    last_ended = now;
    return !known;
}

bool known_searcher::stalled(time_point now, duration round_trip) const {
    if (open.empty()) {
        return false;
    }
    const auto& oldest = open.front();
    const auto stall_timeout =
        round_trip + min_stall_time +
        duration(static_cast<std::int64_t>(static_cast<double>(oldest.typical_latency.count()) *
                                           stall_latency_factor * std::max(1.0, slowness)));
    return now - std::max(oldest.sent, last_answer) > stall_timeout;
}

} // namespace skylarkseam
