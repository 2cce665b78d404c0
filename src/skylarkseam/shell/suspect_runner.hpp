// Exchanges reports of requests that crash searchers with the neighbouring gateways.
#pragma once

#include <skylarkseam/gateway/crash_suspects.hpp>
#include <skylarkseam/gateway/suspect_exchange.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace skylarkseam {

/// The memory that the reports come from and go to.
struct suspect_source {
    std::function<const crash_suspects&()> known;
    std::function<void(const std::vector<suspect_report>& reports)> merge;
};

class suspect_runner {
public:
    suspect_runner(event_loop& loop, peer_client& client, peer_server& server, suspect_source source);

    /// \param own_address  where other gateways reach this one
    void start(const std::string& own_address);
    /// Sends what is new to the neighbours.
    void run();
    /// A gateway that follows this one has called.
    void note_follower(const std::string& address);
    /// \param followed  address of the gateway that this one follows; empty if there is none
    void set_followed(const std::string& followed);
    void note_restart(const std::string& address);

private:
    void answer(const std::string& body, const std::shared_ptr<peer_responder>& to);
    void call(const suspect_call& it);
    void update_neighbours();

    event_loop& loop_;
    peer_client& client_;
    peer_server& server_;
    suspect_source source_;
    suspect_exchange exchange_;
    wakeup_timer timer_;
    std::string own_address_;
    std::string followed_;
    std::map<std::string, time_point> followers_; ///< time of the last call by address
};

} // namespace skylarkseam
