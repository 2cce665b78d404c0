// Durations and quorums of the cell protocol. All nodes of a cell must run with the same values.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstddef>

namespace skylarkseam {

/// Number of members that must grant a promise before a member without access to the platform keeps its
/// authority. A change of epoch needs the votes of the remaining members and one more.
enum class promise_rule { majority, every };

struct cell_timing {
    /// Lease of a member, counted from the time at which the member sent the acknowledged message.
    duration lease = milliseconds(2000);
    duration renew_interval = milliseconds(1000); ///< Interval between two writes of the record.
    duration probe_timeout = milliseconds(200);   ///< Longest wait for the members' heartbeats or votes.
    duration probe_interval = milliseconds(200);  ///< Interval between probes of a late member.
    duration member_timeout = milliseconds(1500); ///< Time without a heartbeat before a member is removed.
    /// Time without a message from the holder before the other members try to replace it.
    duration holder_timeout = milliseconds(1250);
    duration takeover_stagger = milliseconds(60); ///< Delay between the takeover attempts of two members.
    /// Time that a new holder gives the members to answer its first probe.
    duration first_reply_timeout = milliseconds(300);
    /// Last part of an authority, in which only warm searchers may be used.
    duration warm_only_period = milliseconds(200);
    /// Age of the last renewal from which a member without access to the platform requests promises.
    duration promise_request_after = milliseconds(1300);
    duration promise_duration = milliseconds(2000);
    duration promise_interval = milliseconds(600); ///< Interval between two requests for promises.
    /// Interval between two requests while the member does not have enough promises.
    duration promise_retry_interval = milliseconds(150);
    duration platform_timeout = milliseconds(800); ///< Time after which an unanswered call counts as lost.
    duration platform_retry_delay = milliseconds(250);
    duration max_platform_retry_delay = milliseconds(2000);
    /// Latency above which the platform counts as unreachable.
    duration max_usable_latency = milliseconds(300);
    /// Age of the last renewal from which a member checks whether it can reach the platform.
    duration platform_check_after = milliseconds(1150);
    /// Interval between two such checks while the platform answers.
    duration platform_check_interval = milliseconds(300);
    /// Interval between two such checks while the platform does not answer.
    duration failed_platform_check_interval = milliseconds(3000);
    duration join_interval = milliseconds(500);    ///< Interval between two join requests.
    duration release_interval = milliseconds(200); ///< Interval between two release messages.
    /// Interval between requests for the platform's host list while votes are missing.
    duration host_list_interval = seconds(5);
    /// Time after which an unlisted host counts as terminated: the longest lag of the platform's host list.
    duration host_absence_timeout = seconds(30);
    duration work_grace = milliseconds(100); ///< Longest time that work at a searcher outlasts its deadline.
    int max_clock_drift_percent = 1;         ///< Largest difference in rate between two steady clocks.
    promise_rule rule = promise_rule::majority;
};

/// Returns how long a node may rely on `value` by its own clock while others wait for `value` by theirs.
[[nodiscard]] constexpr duration shortened_by_drift(const cell_timing& timing, duration value) {
    return value * (100 - timing.max_clock_drift_percent) / 100;
}

/// Returns how long others must wait by their own clocks until `value` has passed on a node's clock.
[[nodiscard]] constexpr duration lengthened_by_drift(const cell_timing& timing, duration value) {
    return value * (100 + timing.max_clock_drift_percent) / 100;
}

/// Number of promises, the member's own included, that extend its authority.
[[nodiscard]] constexpr std::size_t promise_quorum(promise_rule rule, std::size_t members) {
    return rule == promise_rule::every ? members : members / 2 + 1;
}

/// Number of votes, the holder's own included, that a change of epoch needs. Each set of that many members
/// intersects each promise quorum.
[[nodiscard]] constexpr std::size_t vote_quorum(promise_rule rule, std::size_t members) {
    return members - promise_quorum(rule, members) + 1;
}

} // namespace skylarkseam
