// Long polls of the gateways that follow this one. A poll is held until this gateway has changes, a newer
// confirmation by the store, or nothing current to offer, so that a follower can tell a quiet store from a
// source that has lost it.
#pragma once

#include <skylarkseam/gateway/peer_group.hpp>
#include <skylarkseam/gateway/store_replica.hpp>

#include <map>
#include <string>
#include <vector>

namespace skylarkseam {

struct held_poll {
    std::uint64_t id = 0; ///< Chosen by the caller, which keeps the connection
    gateway_identity follower;
    replica_position position;
    time_point arrived{};
    time_point until{}; ///< Time at which it is answered in any case
};

/// What this gateway can offer to its followers.
struct source_state {
    const store_replica* known = nullptr;
    bool store_lost = false; ///< Whether this gateway itself does not reach the store
};

class follower_polls {
public:
    explicit follower_polls(const peer_timing& timing)
        : timing_(timing) {}

    void add(held_poll poll) { held_.push_back(std::move(poll)); }
    /// Removes and returns the polls that have to be answered now.
    std::vector<held_poll> take_due(const source_state& source, time_point now);
    std::vector<held_poll> take_all();
    /// The update that answers a poll. Its age is unknown if this gateway does not reach the store, so that
    /// the follower chooses another source.
    [[nodiscard]] static replica_update answer_to(const held_poll& poll, const source_state& source,
                                                  time_point now);

    [[nodiscard]] std::optional<time_point> next_wakeup(const source_state& source) const;
    [[nodiscard]] std::size_t size() const { return held_.size(); }

private:
    [[nodiscard]] bool is_due(const held_poll& poll, const source_state& source, time_point now) const;

    peer_timing timing_;
    std::vector<held_poll> held_;
    std::map<std::string, time_point> confirmed_sent_; ///< Confirmation in the last answer, by follower
};

} // namespace skylarkseam
