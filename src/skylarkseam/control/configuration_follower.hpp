// Keeps a node's configuration up to date: from the platform where this node watches it, and from its peers.
// What is in force only ever rises in generation, whichever source speaks.
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
/// The answer to a call_platform; exactly one for each.
struct platform_answered {
    follower_call_id id = 0;
    platform_response answer;
};
/// The reply to a call_peer, or nothing where none came in time; exactly one for each.
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
/// From now on this one is in force.
struct put_in_force {
    std::shared_ptr<const configuration> config;
    std::string source; ///< "platform" or the peer's address
};
/// Something that a source said was refused; for the log.
struct report_refusal {
    std::string source;
    std::string detail;
};
} // namespace follower_action

using follower_output = std::variant<follower_action::call_platform, follower_action::call_peer,
                                     follower_action::put_in_force, follower_action::report_refusal>;

struct follower_options {
    std::string node;
    std::string address;                       ///< where peers reach this node, ip:port
    std::uint64_t seed = 0;                    ///< of the random choices
    std::uint32_t fan_out = 6;                 ///< peers told of each new generation
    duration peer_timeout = milliseconds(300); ///< of one call to a peer; then another one is asked
    duration digest_interval = seconds(1);     ///< between comparisons with one random peer
    duration watch_timeout = seconds(20);      ///< how long the platform may hold a watch
    duration read_interval = seconds(4);      ///< between direct reads by a watching node, as watches may lag
    duration first_retry = milliseconds(200); ///< after a failed call to the platform; doubles
    duration longest_retry = seconds(4);
    duration peer_silence = seconds(3); ///< without any peer: reads the platform itself
    duration start_grace = seconds(2);  ///< the longest wait for further sources before the first one
    duration cut_off = seconds(10);     ///< without platform and peers: no new work
};

struct follower_counters {
    std::uint64_t platform_calls = 0;
    std::uint64_t peer_calls = 0;
    std::uint64_t refused_lower = 0;   ///< a source spoke of a lower generation
    std::uint64_t refused_invalid = 0; ///< a head, body or part that failed its checks
    std::uint64_t in_force = 0;        ///< generations put in force
    std::uint64_t parts_fetched = 0;
    std::uint64_t parts_reused = 0;
};

/// What the state dump shows.
struct follower_view {
    generation_id generation = 0;
    std::string hash;
    std::string token;
    bool watching = false;
    bool cut_off = false;
    std::optional<duration> since_platform_answer; ///< since the platform last answered
    std::optional<duration> since_peer_message;
    std::map<std::string, generation_id> confirmed; ///< by node, as last heard
};

class configuration_follower {
public:
    configuration_follower(follower_options options, const configuration_codec& codec, time_point start);
    ~configuration_follower();
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;

    /// Whether this node is the one of its cell that watches the platform.
    void set_watching(bool watching, time_point now, std::vector<follower_output>& out);
    /// ip:port of the other nodes; those of this node's own cell and any others known.
    void set_peers(std::vector<std::string> addresses, time_point now);

    void handle(follower_input event, time_point now, std::vector<follower_output>& out);

    /// Answers a peer's request.
    [[nodiscard]] any_configuration_message answer_peer(const any_configuration_message& request,
                                                        time_point now, std::vector<follower_output>& out);

    [[nodiscard]] time_point next_wakeup() const;

    /// Whether neither the platform nor any peer was heard for longer than the bound.
    [[nodiscard]] bool cut_off(time_point now) const;
    /// Null before the first.
    [[nodiscard]] std::shared_ptr<const configuration> in_force() const;
    [[nodiscard]] follower_counters counters() const;
    [[nodiscard]] follower_view view(time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
