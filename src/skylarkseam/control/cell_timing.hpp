// The durations and quorums that a cell's members share. All nodes of a cell have to run with the same ones.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstddef>

namespace skylarkseam {

/// How many members have to promise that they follow no new epoch before a member that is cut off from the
/// platform keeps its authority. The rest, and one more, have to vote before an epoch may change.
enum class promise_rule { majority, every };

struct cell_timing {
    duration lease = milliseconds(2000);          ///< from a member's own message to the end of its authority
    duration renew_interval = milliseconds(1000); ///< between two writes of the record
    duration probe_timeout = milliseconds(200);   ///< a renewal waits no longer for members' replies
    duration probe_interval = milliseconds(200);  ///< between probes of a member that is late
    duration member_silence = milliseconds(1500); ///< a member not heard from for as long is taken out
    duration holder_silence = milliseconds(1250); ///< without a probe for as long, members look for a new one
    duration takeover_stagger = milliseconds(60); ///< between the attempts of two members
    duration first_reply = milliseconds(300);     ///< a new holder gives members as long to answer
    duration warm_tail = milliseconds(200);     ///< the last part of an authority is for warm searchers only
    duration freeze_after = milliseconds(1300); ///< a lease not renewed for as long is backed by promises
    duration promise = milliseconds(2000);
    duration promise_interval = milliseconds(600); ///< between two requests for promises
    duration promise_retry = milliseconds(150);    ///< the same, while too few have promised
    duration platform_timeout = milliseconds(800); ///< a call without an answer counts as lost
    duration platform_retry = milliseconds(250);
    duration platform_retry_most = milliseconds(2000);
    duration usable_latency = milliseconds(300); ///< a slower platform counts as out of reach
    duration check_after = milliseconds(1150);   ///< a member whose lease is older looks for the platform
    duration check_interval = milliseconds(300); ///< between two such calls while the platform answers
    duration failed_check_interval = milliseconds(3000); ///< the same, while it does not
    duration join_interval = milliseconds(500);
    duration release_interval = milliseconds(200);
    duration host_list_interval =
        seconds(5);                      ///< between looks at the platform's hosts while votes are missing
    duration host_absence = seconds(30); ///< a host not listed for as long has ended; the list's longest lag
    duration work_grace = milliseconds(100); ///< work at a searcher may outlast its deadline by as much
    int clock_margin_percent = 1;            ///< by which two steady clocks may differ in rate
    promise_rule rule = promise_rule::majority;
};

/// A duration that a holder may use by its own clock, if others wait for `value` by theirs.
[[nodiscard]] constexpr duration shortened(const cell_timing& timing, duration value) {
    return value * (100 - timing.clock_margin_percent) / 100;
}

/// A duration that others wait for by their own clocks before they count on a holder's `value` being over.
[[nodiscard]] constexpr duration lengthened(const cell_timing& timing, duration value) {
    return value * (100 + timing.clock_margin_percent) / 100;
}

/// Promises, one's own included, that back an authority.
[[nodiscard]] constexpr std::size_t promise_quorum(promise_rule rule, std::size_t members) {
    return rule == promise_rule::every ? members : members / 2 + 1;
}

/// Votes, the holder's own included, that an epoch change needs: any such set meets any promise quorum.
[[nodiscard]] constexpr std::size_t vote_quorum(promise_rule rule, std::size_t members) {
    return members - promise_quorum(rule, members) + 1;
}

} // namespace skylarkseam
