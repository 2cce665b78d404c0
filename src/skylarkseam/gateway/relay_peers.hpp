// Chooses the gateway that a request is passed on to while this host reaches no searcher, and finds out which
// gateways take requests: it asks those that it knows, and each of them names others.
#pragma once

#include <skylarkseam/core/time.hpp>
#include <skylarkseam/gateway/directory.hpp>

#include <pcg_random.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace skylarkseam {

/// Another gateway, as the group's members are known or as another one names it.
struct relay_peer {
    std::string address; ///< Address (ip:port) on which other gateways reach it
    std::string zone;

    friend bool operator==(const relay_peer&, const relay_peer&) = default;
};

/// Answer of a gateway to the question whether it takes requests of others.
struct relay_offer {
    bool takes = false;
    std::vector<relay_peer> others; ///< Some gateways of its zone that may take requests
};

class relay_peers {
public:
    relay_peers(const placement_view& view, std::uint64_t seed)
        : view_(view)
        , random_(seed) {}

    /// Sets the gateways that this one knows by itself.
    void set(const std::vector<relay_peer>& peers);

    /// \param tried    addresses that the request was passed on to before
    /// \param regions  regions that may get the request besides this host's own; empty if all may
    [[nodiscard]] std::optional<relay_peer> pick(std::span<const std::string> tried,
                                                 std::span<const std::string> regions, time_point now);

    /// The peer takes no requests of others now.
    void note_declined(const std::string& address, time_point now);
    /// The peer has accepted a request or answered it.
    void note_word(const std::string& address, time_point now);
    /// The peer is not reached, or its connection has ended.
    void note_lost(const std::string& address, time_point now);
    /// The peer has said nothing of a request that was sent to it at `sent`. It counts as lost only if it has
    /// said nothing of other requests since.
    void note_silence(const std::string& address, time_point sent, time_point now);

    /// Addresses of the peers to ask now whether they take requests. They are few at a time, also on a host
    /// that knows hundreds.
    [[nodiscard]] std::vector<std::string> take_questions(time_point now);
    void note_offer(const std::string& address, const relay_offer& offer, time_point now);
    /// The peer has not answered the last question.
    void note_question_unanswered(const std::string& address, time_point now);
    /// Time at which further peers may be asked.
    [[nodiscard]] time_point next_questions() const { return asked_at_ + question_interval; }
    /// Forgets the gateways that others have named.
    void forget_named();

    /// The gateways that this one names to others: those of its zone that are not known to be cut off.
    [[nodiscard]] std::vector<relay_peer> named_to_others(time_point now);

private:
    /// Time between two groups of questions.
    static constexpr duration question_interval = milliseconds(250);

    struct peer {
        relay_peer who;
        bool named_only = false; ///< True if only others have named it
        time_point avoided_until{};
        std::optional<time_point> last_word{}; ///< When it last took a request or said that it would
        std::optional<time_point> asked_at{};
    };
    struct zone_state {
        std::size_t known = 0;
        std::size_t failed = 0; ///< Peers that are avoided now
        bool takes = false;     ///< Whether one of them has taken a request lately
    };

    [[nodiscard]] static bool takes(const peer& it, time_point now);
    /// Removes one peer from the list and returns its address.
    std::string ask_one(std::vector<peer*>& due, time_point now);
    void count_zones(time_point now);
    /// Order of preference, lowest first: whether the zone seems to be cut off, the distance, and whether the
    /// peer is not known to take requests.
    struct preference {
        bool zone_cut_off = false;
        distance network_distance = distance::same_zone;
        bool unknown = false;

        friend bool operator==(const preference&, const preference&) = default;
        friend bool operator<(const preference& a, const preference& b) {
            return std::tie(a.zone_cut_off, a.network_distance, a.unknown) <
                   std::tie(b.zone_cut_off, b.network_distance, b.unknown);
        }
    };
    [[nodiscard]] preference preference_of(const peer& it, time_point now) const;

    placement_view view_;
    pcg32 random_;
    std::map<std::string, peer> peers_;       ///< By address
    std::map<std::string, zone_state> zones_; ///< As of the last choice
    time_point asked_at_{};                   ///< Time of the last questions
};

} // namespace skylarkseam
