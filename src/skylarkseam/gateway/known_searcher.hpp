// A gateway's view of one searcher: its registration and its recent behaviour.
#pragma once

#include <skylarkseam/core/time.hpp>
#include <skylarkseam/gateway/rate_share.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

using attempt_id = std::uint64_t; ///< Identifier of one request to one searcher.

/// A searcher's registration, decoded.
struct searcher_record {
    /// ID of one run of the searcher; a registration with the same ID may return with another `started_at`.
    std::string id;
    std::string service;
    std::string address; ///< Address as ip:port.
    std::string zone;
    std::uint32_t slots = 1; ///< Number of requests that the searcher runs concurrently.
    bool draining = false;   ///< True if the searcher will soon take no new work.
    /// Remaining warm-up time when the registration was written; a searcher that is warming up (cold) handles
    /// less load than usual.
    duration cold_for{};
    std::int64_t started_at = 0; ///< Start time, as Unix time in milliseconds.

    friend bool operator==(const searcher_record&, const searcher_record&) = default;
};

/// Network distance between a searcher and this host.
enum class distance { same_zone, same_region, other_region };

/// Reason why a searcher currently gets no requests other than probes.
enum class searcher_fault { none, silent, failing, unreachable, replaced };

[[nodiscard]] std::string_view name_of(searcher_fault fault);

/// Invariant: `open` holds the attempts that were sent and have not ended, oldest first.
struct known_searcher {
    struct open_attempt {
        attempt_id id = 0;
        time_point sent{};
        duration typical_latency{}; ///< Typical latency of such a request over all searchers.
        bool suspected = false;     ///< True if the request may crash the searcher.
        /// True if no other suspected request was open here at the same time, so that the searcher's end is
        /// not held against both.
        bool alone = true;
    };

    searcher_record record;
    distance network_distance = distance::other_region;
    std::string region;
    bool registered = true; ///< False if the searcher's entry in the store was removed.
    /// Time at which the searcher started to drain or its entry was removed; empty if neither happened.
    std::optional<time_point> leaving{};
    /// True if the searcher itself announced that it leaves; its registration may not say so yet. It holds
    /// until the searcher starts again, which is a new object.
    bool announced_leaving = false;
    /// Time of the last request that was lost on a new connection; the searcher may be over its limit of
    /// connections.
    std::optional<time_point> new_connection_lost_at{};
    /// Time up to which the searcher wants no requests from this host.
    time_point back_off_until{};
    rate_share rate;        ///< This host's share of the rate that the searcher states, if it states one.
    bool evacuated = false; ///< True if the searcher's zone must get no work.
    /// True if the process has ended: its entry was removed, or another start or searcher took its place.
    bool ended = false;
    bool check_open = false; ///< True while it is being checked whether the searcher accepts connections.
    time_point checked_at{}; ///< Time at which the last such check began.
    time_point cold_until{};
    /// Time at which the searcher may have become cold without a report of it: the end of its zone's
    /// evacuation.
    std::optional<time_point> unreported_since{};

    std::vector<open_attempt> open;
    double slowness = 1.0;     ///< EWMA of the ratio between the searcher's latency and the typical one.
    double failure_rate = 0.0; ///< EWMA of the share of attempts that were refused or failed.
    std::uint32_t consecutive_failures = 0;
    /// Congestion window: the number of attempts that may be open at this searcher at a time. It starts
    /// small, grows with each answer and halves with each failure, so that hosts that start together do not
    /// open all their connections at once. Late answers also reduce it, so that requests queue at the
    /// gateway, which can still refuse them, and not at the searcher.
    double window = 2.0;
    /// Window size up to which each answer adds one, as in TCP slow start; above it the window grows by
    /// 1/window.
    double slow_start_threshold = 1000.0;
    /// Time of the last reduction after a late answer; answers to requests sent earlier do not reduce the
    /// window again.
    time_point window_reduced_at{};
    time_point last_answer{};
    time_point last_ended{};
    searcher_fault fault = searcher_fault::none;
    /// Number of requests that this host may send to the searcher now, while it is cold.
    double cold_allowance = 0.0;
    /// Time of the last update of `cold_allowance`; empty until the first one after the searcher became cold.
    std::optional<time_point> cold_allowance_at{};
    time_point probe_at{};     ///< Time from which a faulty searcher may get one request as a probe.
    duration probe_interval{}; ///< Probe interval of a faulty searcher; doubles with each failed probe.

    void on_sent(attempt_id id, time_point now, duration typical_latency, bool suspected = false);
    [[nodiscard]] bool has_suspected_request() const {
        return std::any_of(open.begin(), open.end(), [](const auto& it) { return it.suspected; });
    }
    /// Whether the searcher's end would be held against the attempt.
    [[nodiscard]] bool is_accountable(attempt_id id) const;
    /// Removes an attempt. Returns false if the attempt is not open.
    bool on_ended(attempt_id id);
    /// \param sent              time at which the request was sent
    /// \param overload_latency  latency above which the searcher counts as overloaded
    void on_answer(duration latency, duration typical_latency, time_point sent, duration overload_latency,
                   time_point now);
    void on_refused(time_point now);
    void on_failure(searcher_fault kind, time_point now);
    /// Forgets the fault, which was not the searcher's.
    void forget_fault();
    /// Handles the searcher's own announcement that it leaves. Returns false if that was known.
    bool on_leaving_announced(time_point now);
    /// Handles a refusal in which the searcher asked for no requests for `time`. A later end that was already
    /// asked for stays. Returns false if the searcher was already backing off.
    bool on_back_off(duration time, time_point now);

    /// Refills the allowance of a cold searcher. The allowance never exceeds one request, so that the
    /// requests of several hosts do not add up to a burst.
    /// \param first_fill  allowance when the searcher has just become cold, from 0 to 1. Hosts choose it at
    /// random, so that they do not send their first requests together.
    void refill_cold_allowance(double per_second, double first_fill, time_point now);

    [[nodiscard]] bool backing_off(time_point now) const { return now < back_off_until; }

    /// Age of the oldest open attempt.
    [[nodiscard]] duration oldest_age(time_point now) const {
        return open.empty() ? duration::zero() : now - open.front().sent;
    }
    /// True if the searcher has answered nothing for several times the typical latency of its oldest open
    /// request.
    [[nodiscard]] bool stalled(time_point now, duration round_trip) const;
};

} // namespace skylarkseam
