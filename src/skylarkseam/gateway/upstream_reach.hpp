// Finds out whether this host reaches any searcher, for the case that its own links fail while clients, the
// store and the other hosts still reach it. What single requests meet is no proof, since searchers end and
// pause too; it is the reason for a round of checks of several searchers. A connection that opens is no proof
// either: a proxy or a full accept queue on the way completes handshakes for searchers that are not reached.
#pragma once

#include <skylarkseam/core/time.hpp>
#include <skylarkseam/gateway/exchange.hpp>

#include <cstdint>
#include <optional>

namespace skylarkseam {

enum class reach_state {
    sound,
    cut_off, ///< No searcher answers this host
};

/// Invariant: the state changes only by checks: to `cut_off` if every check of two rounds failed, back if one
/// succeeds. A round in which connections opened does not count as failed if any searcher has answered any
/// request since it began.
class upstream_reach {
public:
    [[nodiscard]] reach_state state() const { return state_; }
    [[nodiscard]] bool cut_off() const { return state_ == reach_state::cut_off; }
    /// Time since which the host is cut off.
    [[nodiscard]] time_point cut_off_since() const { return changed_at_; }

    /// A searcher has answered a request.
    void note_answer(time_point now);
    void note_connected() { connect_failures_.count = 0; }
    void note_connect_failure(time_point now) { connect_failures_.add(now); }
    /// A connection ended before the request on it was answered.
    void note_loss(time_point now) { losses_.add(now); }
    /// A request that was sent at `sent` has no answer, although it should.
    void note_silence(time_point sent, time_point now);

    /// A request was refused because its searchers are faulty. That may be their own fault, so it is looked
    /// into less often.
    void note_refusal() { refused_ = true; }

    /// Number of searchers to check now; 0 if no round is due.
    [[nodiscard]] std::size_t checks_due(time_point now) const;
    void begin_round(std::size_t checks, time_point now);
    /// Handles the result of one check of the round. Returns true if the state has changed.
    bool take_check(check_result result, time_point now);

    /// Time at which a round may become due without an event.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    /// Failures in a row of one kind.
    struct failure_run {
        std::uint32_t count = 0;
        time_point last{};

        void add(time_point now);
        [[nodiscard]] bool suspicious() const;
    };

    /// Time at which a round is due while the host is not cut off; absent if there is no reason for one.
    [[nodiscard]] std::optional<time_point> round_due() const;
    [[nodiscard]] bool end_round(time_point now);
    bool set_state(reach_state state, time_point now);

    reach_state state_ = reach_state::sound;
    time_point changed_at_{};
    time_point last_answer_{};
    failure_run connect_failures_; ///< Since the last connection that opened
    failure_run losses_;           ///< Since the last answer
    failure_run silences_;         ///< Requests that should have been answered since the last answer
    bool refused_ = false;         ///< Whether requests were refused since the last round
    time_point round_began_{};
    time_point last_success_{}; ///< Time of the last check that succeeded
    std::size_t open_checks_ = 0;
    bool succeeded_in_round_ = false;
    bool connected_in_round_ = false;
    std::uint32_t failed_rounds_ = 0; ///< Rounds in a row that failed
};

} // namespace skylarkseam
