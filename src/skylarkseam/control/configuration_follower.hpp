// Keeps a node's configuration up to date, from the platform if this node watches it, and from its peers. The
// generation in force never decreases, whichever source a configuration comes from.
#pragma once

#include <skylarkseam/control/configuration_head.hpp>
#include <skylarkseam/control/configuration_message.hpp>
#include <skylarkseam/core/platform_object.hpp>
#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

using follower_call_id = std::uint64_t;

namespace follower_event {
/// Answer to a call_platform. There is exactly one for each call.
struct platform_answered {
    follower_call_id id = 0;
    platform_response answer;
};
/// Reply to a call_peer, or no reply after a timeout. There is exactly one such event for each call.
struct peer_answered {
    follower_call_id id = 0;
    std::optional<any_configuration_message> reply;
};
struct time_passed {};
} // namespace follower_event

using follower_input = std::variant<follower_event::platform_answered, follower_event::peer_answered,
                                    follower_event::time_passed>;

namespace follower_action {
struct call_platform {
    follower_call_id id = 0;
    platform_request request;
};
struct call_peer {
    follower_call_id id = 0;
    std::string address;
    any_configuration_message message;
    duration timeout{};
};
/// Puts a configuration in force, in place of the previous one.
struct put_in_force {
    std::shared_ptr<const configuration> config;
    std::string source; ///< Either "platform" or the address of a peer.
};
/// Reports for the log that data from a source was rejected.
struct report_refusal {
    std::string source;
    std::string detail;
};
} // namespace follower_action

using follower_output = std::variant<follower_action::call_platform, follower_action::call_peer,
                                     follower_action::put_in_force, follower_action::report_refusal>;

struct follower_options {
    std::string node;
    std::string address;       ///< Address of this node for messages from peers, as ip:port.
    std::uint64_t seed = 0;    ///< Seed of the random number generator.
    std::uint32_t fan_out = 6; ///< Number of peers that get an announcement of each new generation.
    duration peer_timeout = milliseconds(300); ///< Timeout of a call to a peer; then another peer is called.
    duration digest_interval = seconds(1);     ///< Interval between digest exchanges with a random peer.
    duration watch_timeout = seconds(20);      ///< Maximum time that the platform may hold a watch open.
    /// Interval between direct reads of the head by a watching node, since a watch may lag.
    duration read_interval = seconds(4);
    /// Pause after a failed call to the platform; it doubles with each consecutive failure.
    duration retry_pause = milliseconds(200);
    duration max_retry_pause = seconds(4);
    /// Time without a message from any peer after which this node reads the head from the platform itself.
    duration max_peer_silence = seconds(3);
    /// Maximum wait for answers of further sources before the first configuration is installed.
    duration max_startup_wait = seconds(2);
    /// Time without contact to the platform or a peer after which this node takes no new work.
    duration cut_off_after = seconds(10);
};

struct follower_counters {
    std::uint64_t platform_calls = 0;
    std::uint64_t peer_calls = 0;
    /// Number of candidates and heads whose generation was too low.
    std::uint64_t refused_lower = 0;
    /// Number of heads, digests, pieces and bodies that failed validation.
    std::uint64_t refused_invalid = 0;
    std::uint64_t in_force = 0; ///< Number of generations put in force.
    std::uint64_t parts_fetched = 0;
    std::uint64_t parts_reused = 0;
};

/// State for the node's state dump.
struct follower_view {
    generation_id generation = 0;
    std::string hash;
    std::string token;
    bool watching = false;
    bool cut_off = false;
    std::optional<duration> since_platform_answer;  ///< Time since the platform's last answer.
    std::optional<duration> since_peer_message;     ///< Time since the last message from a peer.
    std::map<std::string, generation_id> confirmed; ///< Last reported generation in force, by node.
};

class configuration_follower {
public:
    configuration_follower(follower_options options, const configuration_codec& codec, time_point start);
    ~configuration_follower();
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;

    /// Sets whether this node watches the platform; one node of each cell does.
    void set_watching(bool watching, time_point now, std::vector<follower_output>& out);
    /// Sets the addresses of the other known nodes, in this node's cell and outside it, as ip:port.
    void set_peers(std::vector<std::string> addresses, time_point now);

    void handle(follower_input event, time_point now, std::vector<follower_output>& out);

    [[nodiscard]] any_configuration_message answer_peer(const any_configuration_message& request,
                                                        time_point now, std::vector<follower_output>& out);

    [[nodiscard]] time_point next_wakeup() const;

    /// Returns whether neither the platform nor any peer has answered or called for longer than
    /// follower_options::cut_off_after.
    [[nodiscard]] bool cut_off(time_point now) const;
    /// Returns the configuration in force; null if none has been installed yet.
    [[nodiscard]] std::shared_ptr<const configuration> in_force() const;
    [[nodiscard]] follower_counters counters() const;
    [[nodiscard]] follower_view view(time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
