// What an operator's command does outside the process, one call after another: each call runs the event loop
// until its answer is there.
#pragma once

#include <skylarkseam/control/configuration_message.hpp>
#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/platform_client.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// Where the platform is, and some nodes if the settings name any.
struct operator_targets {
    std::string platform_url;
    std::vector<std::string> peers; ///< ip:port of nodes, for messages between nodes
};

class operator_session {
public:
    explicit operator_session(operator_targets targets);

    [[nodiscard]] platform_response call_platform(const platform_request& request);
    [[nodiscard]] http_response get(const std::string& url);
    /// One message to each address at once; nothing where no reply came.
    [[nodiscard]] std::vector<std::optional<any_configuration_message>>
    ask_peers(const std::vector<std::string>& addresses, const any_configuration_message& message);
    void sleep(duration length);

    [[nodiscard]] event_loop& loop() { return loop_; }
    [[nodiscard]] platform_client& platform() { return platform_; }
    [[nodiscard]] const operator_targets& targets() const { return targets_; }

private:
    operator_targets targets_;
    event_loop loop_;
    http_client http_{loop_};
    platform_client platform_;
    peer_client peers_{loop_, {}};
};

} // namespace skylarkseam
