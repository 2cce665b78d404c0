// Which gateways know what the store holds, and from whom each learns it. In every zone one gateway watches
// the store and the others follow it; the watching gateways follow each other in a ring over the zones, so
// that one that is silently cut off from the store still learns of changes. A gateway that nobody keeps up to
// date watches the store itself, so that no group is needed for service.
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
    std::string address; ///< ip:port for other gateways

    friend bool operator==(const gateway_identity&, const gateway_identity&) = default;
};

/// A gateway as another one tells of it.
struct group_member {
    gateway_identity who;
    duration age{}; ///< since it was last heard directly
};

/// How many gateways a zone has, as its watching one counted them.
struct zone_host_count {
    std::uint32_t hosts = 0;
    duration age{}; ///< since they were counted
};

/// What gateways tell each other of the group with every message.
struct group_view {
    gateway_identity sender;
    bool leaving = false;
    std::vector<group_member> members; ///< of the receiver's zone, and the first one of each other zone
    std::map<std::string, zone_host_count> hosts_of_zone;
};

struct peer_timing {
    duration greet_pause = milliseconds(250);  ///< between greetings while nobody is known
    duration greet_interval = seconds(2);      ///< between greetings of a gateway that watches
    duration follow_wait = milliseconds(1500); ///< how long an answer may be held while there is no news
    duration call_timeout = milliseconds(700); ///< beyond the wait
    duration shun = milliseconds(2500);        ///< a peer that failed or was stale is not asked for so long
    duration forget = seconds(8);              ///< a gateway that is not heard of for so long has gone
    duration max_knowledge_age = milliseconds(4500); ///< older knowledge than this is no longer relied on
    duration alone = milliseconds(700); ///< after so long without a peer a new gateway asks the store, where
                                        ///< all gateways start for the first time and no client waits
    duration alone_again = milliseconds(100); ///< the same after a restart: a greeting's round trip
};

/// A call to another gateway.
struct peer_call {
    enum class kind { greet, follow };
    kind what = kind::greet;
    std::string address;
};

/// Invariant: at most one follow call is open.
class peer_group {
public:
    /// \param first_start  the whole deployment starts for the first time
    peer_group(gateway_identity self, std::vector<std::string> seeds, peer_timing timing, bool first_start,
               time_point now);

    void take_calls(time_point now, std::vector<peer_call>& out);
    /// \param view  absent: the call failed. \param age  of the knowledge that a follow call brought
    void take_answer(const peer_call& call, const std::optional<group_view>& view, duration age,
                     time_point now);
    /// A call of another gateway arrived.
    void take_call(const group_view& from, time_point now);

    /// \param confirmed  when the store last confirmed what this gateway knows, by whichever way
    [[nodiscard]] bool should_watch_store(std::optional<time_point> confirmed, time_point now) const;
    /// Whether this gateway watches the store for its zone.
    [[nodiscard]] bool watches_store_for_zone(time_point now) const;
    [[nodiscard]] group_view view_for(const std::string& zone, time_point now) const;
    /// Gateways of each zone, as far as they are known.
    [[nodiscard]] std::map<std::string, std::uint32_t> hosts_by_zone() const;
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::string followed() const { return follow_open_ ? follow_address_ : std::string(); }
    void set_seeds(std::vector<std::string> seeds);
    void set_leaving() { leaving_ = true; }

private:
    struct member {
        gateway_identity who;
        time_point heard{};
        time_point shunned_until{};
    };

    [[nodiscard]] std::uint32_t hosts_here() const;
    void note(const gateway_identity& who, time_point heard);
    void merge(const group_view& view, time_point now);
    [[nodiscard]] const member* first_of_zone(const std::string& zone, time_point now) const;
    [[nodiscard]] const member* to_follow(time_point now) const;
    void forget_old(time_point now);

    gateway_identity self_;
    std::vector<std::string> seeds_;
    peer_timing timing_;
    duration alone_;
    time_point began_;
    bool leaving_ = false;
    std::map<std::string, member> members_; ///< by name, without this one
    struct zone_count {
        std::uint32_t hosts = 0;
        time_point heard{};
    };
    std::map<std::string, zone_count> zones_; ///< of the other zones
    std::size_t next_seed_ = 0;
    time_point greet_due_{};
    time_point follow_due_{};
    bool follow_open_ = false;
    std::string follow_address_;
    std::optional<time_point> followed_at_; ///< when a followed peer last answered with fresh knowledge
};

} // namespace skylarkseam
