#include <skylarkseam/gateway/upstream_reach.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Number of searchers that are checked in a round. They belong to several zones, if there are several.
constexpr std::size_t checks_in_round = 4;
/// The same while the host is cut off, to find out when that ends.
constexpr std::size_t checks_while_cut_off = 2;
/// Rounds in which every check has to fail before the host counts as cut off. While many searchers are down,
/// a single round may meet only such ones.
constexpr std::uint32_t rounds_to_cut_off = 2;
/// Shortest time between the beginnings of two rounds.
constexpr duration round_interval = milliseconds(500);
/// Shortest time from a check that succeeded until a round for which refused requests are the only reason.
constexpr duration refusal_interval = seconds(2);
constexpr duration round_interval_cut_off = milliseconds(250);
/// Failures in a row before a round begins; single searchers that end are no reason.
constexpr std::uint32_t failures_before_round = 3;
/// Time after which a failure does not count any more.
constexpr duration failure_memory = seconds(2);

} // namespace

void upstream_reach::failure_run::add(time_point now) {
    count = now - last > failure_memory ? 1 : count + 1;
    last = now;
}

bool upstream_reach::failure_run::suspicious() const {
    return count >= failures_before_round;
}

void upstream_reach::note_answer(time_point now) {
    last_answer_ = now;
    losses_.count = 0;
    silences_.count = 0;
}

void upstream_reach::note_silence(time_point sent, time_point now) {
    if (last_answer_ < sent) {
        silences_.add(now);
    }
}

std::size_t upstream_reach::checks_due(time_point now) const {
    if (open_checks_ > 0) {
        return 0;
    }
    if (cut_off()) {
        return now - round_began_ >= round_interval_cut_off ? checks_while_cut_off : 0;
    }
    const auto due = round_due();
    return due && now >= *due ? checks_in_round : 0;
}

std::optional<time_point> upstream_reach::round_due() const {
    if (failed_rounds_ > 0) {
        return round_began_;
    }
    if (silences_.suspicious() || connect_failures_.suspicious() || losses_.suspicious()) {
        return round_began_ + round_interval;
    }
    return refused_ ? std::optional(std::max(round_began_ + round_interval, last_success_ + refusal_interval))
                    : std::nullopt;
}

void upstream_reach::begin_round(std::size_t checks, time_point now) {
    round_began_ = now;
    open_checks_ = checks;
    succeeded_in_round_ = false;
    connected_in_round_ = false;
    connect_failures_.count = 0;
    losses_.count = 0;
    silences_.count = 0;
    refused_ = false;
}

bool upstream_reach::take_check(check_result result, time_point now) {
    if (open_checks_ == 0) {
        return false;
    }
    --open_checks_;
    const bool success = result == check_result::answered || result == check_result::accepted;
    succeeded_in_round_ = succeeded_in_round_ || success;
    connected_in_round_ = connected_in_round_ || result == check_result::silent;
    if (success) {
        failed_rounds_ = 0;
        last_success_ = now;
        note_answer(now);
        return set_state(reach_state::sound, now);
    }
    return open_checks_ == 0 && !succeeded_in_round_ && end_round(now);
}

bool upstream_reach::end_round(time_point now) {
    if (connected_in_round_ && last_answer_ > round_began_) {
        failed_rounds_ = 0; // Searchers are slow to answer, but they are reached.
        return false;
    }
    if (++failed_rounds_ < rounds_to_cut_off) {
        return false;
    }
    failed_rounds_ = 0;
    return set_state(reach_state::cut_off, now);
}

bool upstream_reach::set_state(reach_state state, time_point now) {
    if (state == state_) {
        return false;
    }
    state_ = state;
    changed_at_ = now;
    return true;
}

std::optional<time_point> upstream_reach::next_wakeup() const {
    if (open_checks_ > 0) {
        return std::nullopt;
    }
    return cut_off() ? round_began_ + round_interval_cut_off : round_due();
}

} // namespace skylarkseam
