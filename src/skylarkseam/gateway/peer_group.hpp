// Group membership of the gateways, and the choice of each gateway's source of store data. In every zone one
// gateway watches the store and the others follow it, which means that they fetch changes from it by long
// polling. The watching gateways follow each other in a ring over the zones, so that a gateway which has
// silently lost its connection to the store still receives changes. A gateway without a current source
// watches the store itself, so service does not depend on the group.
//
// Where reports of searchers count by the second, a zone has a second source of them: its second gateway
// watches the searchers in the store too, and the others poll it as well. So a report arrives at once
// although any one gateway is silent, without a shorter time until a silent source is left.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

struct gateway_identity {
    std::string name;
    std::string zone;
    std::string address; ///< Address (ip:port) on which other gateways reach this one

    friend bool operator==(const gateway_identity&, const gateway_identity&) = default;
};

/// A member of the group as reported by another gateway.
struct group_member {
    gateway_identity who;
    duration age{}; ///< Time since the member's last direct message
};

/// Number of gateways in a zone, as counted by the zone's watching gateway.
struct zone_host_count {
    std::uint32_t hosts = 0;
    duration age{}; ///< Time since the count
};

/// A gateway's view of the group. Every message between gateways contains one.
struct group_view {
    gateway_identity sender;
    bool leaving = false;
    std::vector<group_member>
        members; ///< All members in the receiver's zone and the first one of each other zone
    std::map<std::string, zone_host_count> hosts_of_zone;
};

struct peer_timing {
    duration discovery_interval = milliseconds(250); ///< Time between greetings while no member is known
    duration greet_interval = seconds(2);            ///< Time between greetings of a watching gateway
    duration follow_wait = milliseconds(1500);       ///< Maximum time for which a long poll waits for changes
    /// The same for a poll of the second source. It is longer, since nothing else is learned from the answer.
    duration second_wait = seconds(5);
    duration call_timeout = milliseconds(700); ///< Timeout of a call, in addition to the wait of a long poll
    duration backoff = milliseconds(2500);     ///< Time for which a peer is not followed after a failed call
    /// Time for which a peer without current data is not followed.
    duration stale_backoff = milliseconds(5000);
    /// Time between two answers to the same follower that list all members of its zone. Answers in between
    /// name only the sender, so that the bytes of frequent changes do not grow with the zone.
    duration member_list_interval = seconds(2);
    duration member_ttl = seconds(8); ///< Time without a message after which a member is removed
    /// Age of its store data at which a gateway asks the store itself, whatever it hears from others.
    duration max_knowledge_age = milliseconds(3200);
    /// Age of a peer's store data at which the peer is not followed any more. It is lower, so that the next
    /// gateway of the zone asks the store before all others do.
    duration max_source_age = milliseconds(2800);
    /// Progress of the store's confirmation after which a held poll is answered without changes.
    duration refresh_interval = milliseconds(250);
    /// Time for which a poll is held although there is no current data: a gateway that has just begun to
    /// watch the store is confirmed within it.
    duration stale_hold = milliseconds(600);
    /// Time without a peer after which a new gateway watches the store itself, at the first start of the
    /// deployment. It can be long because all gateways start together and no client waits.
    duration first_start_solo_delay = milliseconds(700);
    /// Time without a peer after which a restarted gateway watches the store itself: a greeting's round trip.
    duration restart_solo_delay = milliseconds(100);

    /// Timing with which every gateway that reaches the store has a change within `bound` after the store
    /// acknowledged it.
    [[nodiscard]] static peer_timing within(duration bound);
};

/// A call to another gateway: a greeting exchanges group views, a follow call is a long poll for changes, and
/// a call to the second source is one for registrations only.
struct peer_call {
    enum class kind { greet, follow, follow_second };
    kind what = kind::greet;
    std::string address;
};

/// Membership and source selection of one gateway. Invariant: at most one call of each kind of follow call is
/// open.
class peer_group {
public:
    /// \param first_start  whether the whole deployment starts for the first time
    peer_group(gateway_identity self, std::vector<std::string> seeds, peer_timing timing, bool first_start,
               time_point now);

    void take_calls(time_point now, std::vector<peer_call>& out);
    /// \param view  the peer's view of the group; absent if the call failed
    /// \param age   age of the store data in the answer to a follow call
    void take_answer(const peer_call& call, const std::optional<group_view>& view, duration age,
                     time_point now);
    /// Handles a call from another gateway.
    void take_call(const group_view& from, time_point now);

    /// Whether this gateway has to watch the store.
    /// \param confirmed  time at which the store last confirmed this gateway's data, directly or through
    /// peers
    [[nodiscard]] bool should_watch_store(std::optional<time_point> confirmed, time_point now) const;
    /// Whether this gateway is the one that watches the store for its zone.
    [[nodiscard]] bool watches_store_for_zone(time_point now) const;
    /// Sets whether the zone needs a second source of registrations.
    void set_second_source(bool wanted) { second_wanted_ = wanted; }
    /// Whether this gateway is the second source of its zone.
    [[nodiscard]] bool is_second_source(time_point now) const;
    /// Whether an earlier gateway of the zone is known, so that this one watches the store only in its stead.
    [[nodiscard]] bool has_predecessor() const;
    [[nodiscard]] group_view view_for(const std::string& zone, time_point now) const;
    /// The view in an answer to a follower.
    /// \param knows_members  whether the follower has had an answer from this process before
    [[nodiscard]] group_view view_for_follower(const gateway_identity& follower, bool knows_members,
                                               time_point now);
    /// The other gateways that are known.
    [[nodiscard]] std::vector<gateway_identity> members() const;
    /// Number of known gateways in each zone.
    [[nodiscard]] std::map<std::string, std::uint32_t> hosts_by_zone() const;
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::string followed() const { return follow_open_ ? follow_address_ : std::string(); }
    void set_seeds(std::vector<std::string> seeds);
    void set_leaving() { leaving_ = true; }

private:
    struct member {
        gateway_identity who;
        time_point last_heard{};
        time_point backoff_until{};
        time_point second_backoff_until{}; ///< The same for calls to it as the second source
        bool stale = false;           ///< Whether it is not followed because it answered without current data
        time_point members_sent_at{}; ///< Time at which this gateway last sent it the list of members

        [[nodiscard]] bool may_be_second_source(time_point now) const {
            return now >= backoff_until && now >= second_backoff_until;
        }
    };

    /// Whether every earlier gateway of the zone has failed to answer.
    [[nodiscard]] bool predecessors_failed(time_point now) const;
    [[nodiscard]] std::uint32_t own_zone_hosts() const;
    void record_member(const gateway_identity& who, time_point last_heard);
    void merge(const group_view& view, time_point now);
    [[nodiscard]] const member* first_of_zone(const std::string& zone, time_point now) const;
    [[nodiscard]] const member* follow_target(time_point now) const;
    /// The second source to poll; null if there is none or this gateway is one of the two sources.
    [[nodiscard]] const member* second_target(time_point now) const;
    void take_second_calls(time_point now, std::vector<peer_call>& out);
    void take_second_answer(const peer_call& call, bool answered, time_point now);
    void drop_expired(time_point now);

    gateway_identity self_;
    std::vector<std::string> seeds_;
    peer_timing timing_;
    duration solo_delay_;
    time_point started_at_;
    bool leaving_ = false;
    std::map<std::string, member> members_; ///< Other gateways by name
    struct zone_count {
        std::uint32_t hosts = 0;
        time_point last_heard{};
    };
    std::map<std::string, zone_count> zones_; ///< Host counts of the other zones
    std::size_t next_seed_ = 0;
    time_point greet_due_{};
    time_point follow_due_{};
    bool follow_open_ = false;
    std::string follow_address_;
    bool second_wanted_ = false;
    time_point second_due_{};
    bool second_open_ = false;
    std::optional<time_point> followed_at_; ///< Time of the last follow answer with current data
};

} // namespace skylarkseam
