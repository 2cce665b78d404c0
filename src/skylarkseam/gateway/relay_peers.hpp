// Chooses the gateway that a request is passed on to while this host reaches no searcher: a near one first,
// and none that has just declined or lost a request.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <pcg_random.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace skylarkseam {

struct relay_peer {
    std::string address; ///< Address (ip:port) on which other gateways reach it
    std::string zone;
    std::string region;

    friend bool operator==(const relay_peer&, const relay_peer&) = default;
};

class relay_peers {
public:
    relay_peers(std::string zone, std::string region, std::uint64_t seed)
        : zone_(std::move(zone))
        , region_(std::move(region))
        , random_(seed) {}

    void set(std::vector<relay_peer> peers) { peers_ = std::move(peers); }

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

private:
    struct zone_state {
        std::size_t known = 0;
        std::size_t failed = 0; ///< Peers that are avoided now
        bool takes = false;     ///< Whether one of them has taken a request lately
    };

    void count_zones(time_point now);
    /// Whether the peer's zone seems to be cut off, and its distance.
    [[nodiscard]] std::pair<bool, int> rank(const relay_peer& it) const;

    std::string zone_;
    std::string region_;
    pcg32 random_;
    std::vector<relay_peer> peers_;
    std::map<std::string, time_point> avoided_until_; ///< By address
    std::map<std::string, time_point> last_word_;     ///< By address
    std::map<std::string, zone_state> zones_;         ///< As of the last choice
};

} // namespace skylarkseam
