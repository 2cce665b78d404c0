// Blocking calls from an operator's command to the platform and to nodes. Each call runs the event loop until
// the response arrives.
#pragma once

#include <skylarkseam/control/configuration_message.hpp>
#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/platform_client.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// Addresses of the platform and of nodes, as given on the command line.
struct operator_targets {
    std::string platform_url;
    std::vector<std::string> peers; ///< Addresses ip:port at which nodes accept messages from their peers.
};

class operator_session {
public:
    explicit operator_session(operator_targets targets);

    [[nodiscard]] platform_response call_platform(const platform_request& request);
    [[nodiscard]] http_response get_url(const std::string& url);
    /// Sends the message to all addresses concurrently.
    /// \return replies in the order of the addresses; no value for a node that did not reply within the
    /// timeout
    [[nodiscard]] std::vector<std::optional<any_configuration_message>>
    call_peers(const std::vector<std::string>& addresses, const any_configuration_message& message);
    void sleep(duration interval);

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
