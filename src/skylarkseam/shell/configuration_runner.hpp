// Binds the configuration follower to the platform, the peers and the event loop.
#pragma once

#include <skylarkseam/control/configuration_follower.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/platform_client.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkseam {

class configuration_runner {
public:
    /// \param on_change  gets each configuration that comes into force
    configuration_runner(event_loop& loop, platform_client& platform, peer_client& peers,
                         std::function<void(std::shared_ptr<const configuration>)> on_change);

    /// Answers the topic "configuration" and begins to follow. `options` names this node and its address.
    void start(follower_options options, peer_server& server, std::vector<std::string> peers);

    void set_watching(bool watching);
    void set_peers(std::vector<std::string> addresses);

    /// Whether neither the platform nor any peer was heard for longer than the bound.
    [[nodiscard]] bool cut_off() const;
    /// The section of the state dump.
    [[nodiscard]] std::string state_json() const;

private:
    void serve(const std::string& body, const std::shared_ptr<peer_responder>& responder);
    void handle(follower_input event);
    void perform(const std::vector<follower_output>& out);
    void perform(const follower_action::call_platform& action);
    void perform(const follower_action::call_peer& action);
    void perform(const follower_action::put_in_force& action);
    void perform(const follower_action::report_refusal& action);

    event_loop& loop_;
    platform_client& platform_;
    peer_client& peers_;
    std::function<void(std::shared_ptr<const configuration>)> on_change_;
    std::unique_ptr<configuration_follower> follower_; ///< null before start()
    wakeup_timer timer_;
};

} // namespace skylarkseam
