// One searcher as a gateway knows it: what its registration says, and what it did lately.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

using attempt_id = std::uint64_t; ///< one request to one searcher

/// A searcher's registration, decoded.
struct searcher_record {
    std::string id; ///< of this start of the searcher; may come back with another `started_at`
    std::string service;
    std::string address; ///< ip:port
    std::string zone;
    std::uint32_t slots = 1;     ///< requests that it runs at the same time
    bool draining = false;       ///< takes no new work soon
    duration cold_for{};         ///< how much longer it bears less than usual, when this was written
    std::int64_t started_at = 0; ///< Unix time in milliseconds

    friend bool operator==(const searcher_record&, const searcher_record&) = default;
};

/// How far away a searcher is from this host.
enum class distance { same_zone, same_region, other_region };

/// Why a searcher gets no first requests at the moment.
enum class searcher_fault { none, silent, failing, unreachable, replaced };

[[nodiscard]] std::string_view name_of(searcher_fault fault);

/// Invariant: `open` holds the attempts that were sent and have not ended, oldest first.
struct known_searcher {
    struct open_attempt {
        attempt_id id = 0;
        time_point sent{};
        duration usual{}; ///< what such a request takes elsewhere
    };

    searcher_record record;
    distance far = distance::other_region;
    std::string region;
    bool registered = true;              ///< false: its entry was removed
    std::optional<time_point> leaving{}; ///< since when it is draining or its entry is gone
    bool evacuated = false;              ///< its zone is to get no work
    time_point cold_until{};

    std::vector<open_attempt> open;
    double slowness = 1.0;      ///< its time for a request against the usual one
    double failure_share = 0.0; ///< of its recent attempts, those that were refused or came to nothing
    std::uint32_t failures_in_row = 0;
    /// Attempts that may be open here at a time: begins small, grows with each answer and halves with each
    /// failure, so that hosts that start together do not open all their connections at once. Answers that
    /// come too late narrow it, so that what waits does so here, where it can be turned away, and not there.
    double window = 2.0;
    double steady_window = 1000.0; ///< up to it the window grows by one with each answer, beyond it slowly
    time_point narrowed_at{};      ///< answers to what was sent before tell nothing of the window since
    time_point last_answer{};
    time_point last_ended{};
    searcher_fault fault = searcher_fault::none;
    double cold_allowance = 0.0;    ///< requests that this host may send it now, while it is cold
    time_point cold_allowance_at{}; ///< when that was counted
    time_point probe_at{};          ///< while it has a fault: when one request may try it again
    duration probe_pause{};         ///< grows while probes fail

    void on_sent(attempt_id id, time_point now, duration usual);
    /// Removes an attempt; false where it is not open.
    bool on_ended(attempt_id id);
    /// \param sent    when the request was sent
    /// \param in_time  latency from which on the searcher has too much to do
    void on_answer(duration latency, duration usual, time_point sent, duration in_time, time_point now);
    void on_refused(time_point now);
    void on_failure(searcher_fault kind, time_point now);

    /// Counts what a cold searcher may be sent: at most one at once, so that hosts do not add up to a burst.
    void refill_cold_allowance(double per_second, time_point now);

    /// How long the attempt that has waited longest is open.
    [[nodiscard]] duration oldest_age(time_point now) const {
        return open.empty() ? duration::zero() : now - open.front().sent;
    }
    /// It has not answered anything for several times what its oldest request usually takes.
    [[nodiscard]] bool stalled(time_point now, duration round_trip) const;
};

} // namespace skylarkseam
