// A member's authority over its searchers: counted from its own signs of life that the holder has
// acknowledged, and, while the platform is out of reach, from its own requests that peers have answered with
// a promise.
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

    /// Notes that a message is sent now; its sequence number comes back with the acknowledgement.
    std::uint64_t send(time_point now);

    /// The record was renewed after the message had arrived.
    void acknowledge(std::uint64_t sequence);

    /// The holder's own renewal, sent at `sent`, took effect.
    void renew(time_point sent);

    /// `node` has answered the request `sequence` with a promise.
    void promised(const std::string& node, std::uint64_t sequence);

    /// Promises belong to one epoch; the acknowledged lease does not.
    void clear_promises() { promises_.clear(); }

    /// Ends all authority: the node is not a member any more.
    void end();

    /// What the node may do. \param members  of the epoch, one's own included
    [[nodiscard]] authority current(std::size_t members) const;

    /// When the last acknowledged message was sent; nothing before the first.
    [[nodiscard]] std::optional<time_point> renewed_at() const { return renewed_at_; }

private:
    [[nodiscard]] std::optional<time_point> sent_at(std::uint64_t sequence) const;

    struct sent_message {
        std::uint64_t sequence;
        time_point at;
    };

    cell_timing timing_;
    std::uint64_t last_sequence_ = 0;
    std::deque<sent_message> sent_; ///< ascending; the latest few only
    std::optional<time_point> renewed_at_;
    std::map<std::string, time_point> promises_; ///< by node: when the promised request was sent
};

} // namespace skylarkseam
