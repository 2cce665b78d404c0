// Runs a node's part in its cell: platform calls and messages between nodes become events, and what the cell
// decides goes to the owner and the coordinator of this node.
#pragma once

#include <skylarkseam/control/cell.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/platform_client.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

#include <functional>
#include <set>
#include <string>

namespace skylarkseam {

/// What the cell's decisions mean for the rest of the node.
struct membership_handlers {
    std::function<void(std::shared_ptr<const ownership>)> on_ownership;
    /// As owner::set_owned.
    std::function<void(const std::vector<std::string>& searchers, bool handed_over)> on_serve;
    std::function<void(authority)> on_authority;
    /// The node is no longer a member, and its searchers are handed over.
    std::function<void()> on_left;
    /// Work of this node under way at a searcher.
    std::function<std::size_t(const std::string& searcher)> in_flight;
};

class membership_runner {
public:
    membership_runner(event_loop& loop, platform_client& platform, peer_client& peers, peer_server& server,
                      cell_settings settings, membership_handlers handlers);

    void set_configuration(std::shared_ptr<const configuration> config);

    /// Hands this node's searchers to other members; on_left follows when that is done.
    void leave();

    /// Whether this node renews the cell's lease for all members.
    [[nodiscard]] bool is_holder() const { return cell_.view(loop_.now()).is_holder; }

    [[nodiscard]] const cell_counters& counters() const { return cell_.counters(); }

    /// The section of the state dump.
    [[nodiscard]] std::string state_json() const;

private:
    void handle(cell_input event);
    void perform(cell_action::read_record& action);
    void perform(cell_action::write_record& action);
    void perform(cell_action::send_message& action);
    void perform(cell_action::ownership_changed& action);
    void perform(cell_action::serve& action);
    void perform(cell_action::authority_changed& action);
    void perform(cell_action::left& action);

    void call_platform(platform_call_id call, const platform_request& request);
    void serve_messages(const std::string& body, const std::shared_ptr<peer_responder>& responder);
    void take_messages(const std::string& body);
    void send_pending();
    void check_drained();

    event_loop& loop_;
    platform_client& platform_;
    peer_client& peers_;
    cell_settings settings_;
    membership_handlers handlers_;
    cell cell_;
    wakeup_timer timer_;
    std::map<std::string, std::vector<cell_envelope>> pending_; ///< by address, of one event
    std::set<std::string> draining_;
};

} // namespace skylarkseam
