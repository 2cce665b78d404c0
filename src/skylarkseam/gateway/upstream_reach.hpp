// Finds out whether this host reaches any searcher, for the case that its own links fail while clients, the
// store and the other hosts still reach it. What single requests meet is no proof, since searchers end and
// pause too; it is the reason for a round of checks, in which connections to several searchers are opened.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <optional>

namespace skylarkseam {

enum class reach_state {
    sound,
    cut_off, ///< No searcher accepts a connection of this host
};

/// Invariant: the state changes only by checks: to `cut_off` if every check of two rounds failed, back if one
/// succeeds.
class upstream_reach {
public:
    [[nodiscard]] reach_state state() const { return state_; }
    [[nodiscard]] bool cut_off() const { return state_ == reach_state::cut_off; }
    /// Time since which the host is cut off.
    [[nodiscard]] time_point cut_off_since() const { return changed_at_; }

    /// A searcher has sent something.
    void note_answer(time_point now) { last_answer_ = now; }
    void note_connected(time_point now);
    void note_connect_failure(time_point now);
    /// A request that was sent at `sent` has no answer, although it should.
    void note_silence(time_point sent) { suspected_ = suspected_ || last_answer_ < sent; }

    /// A request was refused because its searchers are faulty. That may be their own fault, so it is looked
    /// into less often.
    void note_refusal() { refused_ = true; }

    /// Number of searchers to check now; 0 if no round is due.
    [[nodiscard]] std::size_t checks_due(time_point now) const;
    void begin_round(std::size_t checks, time_point now);
    /// Handles the result of one check of the round. Returns true if the state has changed.
    bool take_check(bool accepted, time_point now);

    /// Time at which a round may become due without an event.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    /// Time at which a round is due while the host is not cut off; absent if there is no reason for one.
    [[nodiscard]] std::optional<time_point> round_due() const;
    bool set_state(reach_state state, time_point now);

    reach_state state_ = reach_state::sound;
    time_point changed_at_{};
    time_point last_answer_{};
    std::uint32_t connect_failures_ = 0; ///< Since the last connection that opened
    time_point last_connect_failure_{};
    bool suspected_ = false; ///< Whether something has happened that a round should explain
    bool refused_ = false;   ///< Whether requests were refused since the last round
    time_point round_began_{};
    time_point last_success_{}; ///< Time of the last check that succeeded
    std::size_t open_checks_ = 0;
    bool accepted_in_round_ = false;
    std::uint32_t failed_rounds_ = 0; ///< Rounds in a row in which every check failed
};

} // namespace skylarkseam
