// Lease that gives a member authority over its searchers. It counts from the send times of the member's own
// messages: heartbeats that the holder acknowledged and, while the platform is unreachable, promise requests
// that a quorum of members granted.
#pragma once

#include <skylarkseam/control/cell_timing.hpp>
#include <skylarkseam/core/ownership.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace skylarkseam {

class member_lease {
public:
    explicit member_lease(const cell_timing& timing)
        : timing_(timing) {}

    /// Records that a message is sent now. Returns its sequence number, which the answer repeats.
    std::uint64_t record_send(time_point now);

    /// Renews the lease: the holder renewed the record after it had received message `sequence`.
    void acknowledge(std::uint64_t sequence);

    /// Renews the lease from `sent`: the send time of the holder's own write that took effect.
    void renew(time_point sent);

    /// Records that `node` granted the promise request `sequence`.
    void add_promise(const std::string& node, std::uint64_t sequence);

    /// Discards the promises, which hold for one epoch only. The acknowledged lease remains valid.
    void clear_promises() { promise_request_times_.clear(); }

    /// Ends the lease and discards the promises of a node that is no longer a member.
    void revoke();

    /// Returns the node's authority.
    /// \param members  number of members in the epoch, this node included
    [[nodiscard]] authority current(std::size_t members) const;

    /// Returns when the last acknowledged message was sent, if there is one.
    [[nodiscard]] std::optional<time_point> renewed_at() const { return renewed_at_; }

private:
    [[nodiscard]] std::optional<time_point> sent_at(std::uint64_t sequence) const;

    struct sent_message {
        std::uint64_t sequence;
        time_point at;
    };

    cell_timing timing_;
    std::uint64_t last_sequence_ = 0;
    std::deque<sent_message> sent_; ///< Latest messages, ascending by sequence number.
    std::optional<time_point> renewed_at_;
    /// Send time of the latest granted request, by granting node.
    std::map<std::string, time_point> promise_request_times_;
};

} // namespace skylarkseam
