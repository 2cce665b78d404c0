#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/gateway/known_searcher.hpp>

namespace skylarkseam {
namespace {

constexpr double slowness_gain = 1.0 / 4.0; ///< a searcher that turns slow is noticed within a few answers
constexpr double widest_window = 1000.0;    ///< the connection share is always less
constexpr double narrowed = 0.8;            ///< of what was open when an answer came too late
constexpr double failure_gain = 1.0 / 8.0;
constexpr double outlier_ratio = 4.0;  ///< a single answer counts for no more than this ...
constexpr double outlier_growth = 2.0; ///< ... or this times what is believed already
constexpr double least_slowness = 0.25;
constexpr double most_slowness = 40.0;
constexpr duration memory = seconds(3); ///< without an answer for so long, what was observed is forgotten
constexpr duration first_probe_pause = milliseconds(300);
constexpr duration longest_probe_pause = milliseconds(1200);
constexpr std::uint32_t failures_before_fault = 2; ///< one lost answer alone says little
constexpr double stall_factor = 4.0; ///< times the usual latency, beyond what a long request takes
constexpr duration stall_floor = milliseconds(12);

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

void known_searcher::on_sent(attempt_id id, time_point now, duration usual) {
    open.push_back({id, now, usual});
    if (fault != searcher_fault::none) {
        probe_at = now + probe_pause;
    }
    cold_allowance = std::max(0.0, cold_allowance - 1.0);
}

void known_searcher::refill_cold_allowance(double per_second, time_point now) {
    if (cold_allowance_at != time_point{}) {
        const auto passed = std::chrono::duration<double>(now - cold_allowance_at).count();
        cold_allowance = std::min(1.0, cold_allowance + passed * per_second);
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

void known_searcher::on_answer(duration latency, duration usual, time_point sent, duration in_time,
                               time_point now) {
    const double ratio = static_cast<double>(std::max(latency, microseconds(100)).count()) /
                         static_cast<double>(std::max(usual, microseconds(500)).count());
    if (now - last_ended > memory) {
        slowness = 1.0;
    }
    // One answer that a pause held up must not count like a searcher that has turned slow.
    const double bounded = std::min(ratio, std::max(outlier_ratio, outlier_growth * slowness));
    slowness = std::clamp(slowness + slowness_gain * (bounded - slowness), least_slowness, most_slowness);
    failure_share -= failure_gain * failure_share;
    failures_in_row = 0;
    if (latency <= in_time) {
        window = std::min(widest_window, window + (window < steady_window ? 1.0 : 1.0 / window));
    } else if (sent >= narrowed_at) {
        window = std::max(1.0, narrowed * std::min(window, static_cast<double>(open.size()) + 1.0));
        steady_window = window;
        narrowed_at = now;
    }
    last_answer = now;
    last_ended = now;
    fault = searcher_fault::none;
    probe_pause = duration::zero();
}

void known_searcher::on_refused(time_point now) {
    failure_share += failure_gain * (1.0 - failure_share);
    last_answer = now;
    last_ended = now;
}

void known_searcher::on_failure(searcher_fault kind, time_point now) {
    failure_share += failure_gain * (1.0 - failure_share);
    last_ended = now;
    ++failures_in_row;
    window = std::max(1.0, window / 2.0);
    if (kind == searcher_fault::failing && failures_in_row < failures_before_fault) {
        return;
    }
    fault = kind;
    probe_pause = std::clamp(probe_pause * 2, first_probe_pause, longest_probe_pause);
    probe_at = now + probe_pause;
}

bool known_searcher::stalled(time_point now, duration round_trip) const {
    if (open.empty()) {
        return false;
    }
    const auto& oldest = open.front();
    const auto patience = round_trip + stall_floor +
                          duration(static_cast<std::int64_t>(static_cast<double>(oldest.usual.count()) *
                                                             stall_factor * std::max(1.0, slowness)));
    return now - std::max(oldest.sent, last_answer) > patience;
}

} // namespace skylarkseam
