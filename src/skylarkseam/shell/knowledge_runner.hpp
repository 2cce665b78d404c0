// Keeps a gateway's knowledge of the platform up to date: from the store where this gateway watches it, else
// from the gateway that it follows, and hands it on to those that follow it.
#pragma once

#include <skylarkseam/gateway/follower_polls.hpp>
#include <skylarkseam/gateway/host_census.hpp>
#include <skylarkseam/gateway/peer_group.hpp>
#include <skylarkseam/gateway/store_replica.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/second_source_runner.hpp>
#include <skylarkseam/shell/store_runner.hpp>
#include <skylarkseam/shell/suspect_runner.hpp>
#include <skylarkseam/shell/suspect_store_runner.hpp>

#include <functional>
#include <map>

namespace skylarkseam {

/// What the rest of the gateway is told, each after the change.
struct knowledge_handlers {
    std::function<void(const std::vector<registration>& changes)> on_searchers;
    std::function<void(const std::set<std::string>& zones)> on_evacuations;
    std::function<void(std::shared_ptr<const routing_table> table)> on_routing;
    std::function<void(const host_counts& hosts)> on_hosts;
    /// The other gateways that are known: all of this zone and at least the first of each other one.
    std::function<void(const std::vector<gateway_identity>& members)> on_members;
    /// The store returned from an older copy; what it says in the next seconds may be outdated.
    std::function<void()> on_store_restored;
    std::function<void()> on_complete; ///< every registration is known; called once
    suspect_source suspects;           ///< what is exchanged with the other gateways
};

class knowledge_runner {
public:
    /// \param timing  timing within the group, which bounds the time until a change is in force here
    knowledge_runner(event_loop& loop, const platform_binding& binding, const std::string& store_url,
                     const peer_timing& timing, peer_limits limits, std::uint64_t epoch, host_census census,
                     knowledge_handlers handlers);

    /// \param address  where other gateways reach this one
    void start(const std::string& name, const std::string& zone, const std::string& address,
               std::vector<std::string> seeds, bool first_start);
    void set_seeds(std::vector<std::string> seeds) { group_->set_seeds(std::move(seeds)); }
    /// Other gateways follow somebody else from now on.
    void leave();

    /// What other messages between gateways use.
    [[nodiscard]] peer_client& peers_out() { return client_; }
    [[nodiscard]] peer_server& peers_in() { return server_; }

    /// More is known of a request that crashes searchers.
    /// \param found_here  whether this gateway found it out itself
    void note_suspect(const std::string& fingerprint, bool found_here);

    /// Since the store confirmed what is known; 0 where it never did.
    [[nodiscard]] duration age() const;
    [[nodiscard]] std::uint64_t store_calls() const { return store_.calls() + suspect_store_.calls(); }
    [[nodiscard]] std::string state_json() const;

private:
    void serve();
    void tick();
    void call(const peer_call& it);
    void take_update(const replica_update& update, const std::string& address);
    /// Takes over the registrations of an update. Returns false if it belongs to an earlier incarnation of
    /// the store.
    bool take_registrations(const replica_update& update, const std::string& address);
    [[nodiscard]] second_source_handlers second_handlers();
    [[nodiscard]] store_scope scope(bool watch) const;
    void take_store(std::vector<store_output> events);
    void take_one(store_event::entry_changed& event);
    void take_one(store_event::listed& event);
    void take_one(store_event::confirmed& event);
    void take_one(store_event::store_lost& event);
    void take_one(store_event::store_regained& event);
    void take_one(store_event::restored& event);
    /// Takes over a new incarnation of the store; does nothing if it is known.
    void begin_incarnation(std::uint64_t incarnation, const std::string& source);
    void settle();
    void apply(const std::vector<registration>& changes);
    void apply(const std::vector<evacuation>& changes);
    /// \param from  where the configuration came from, for the log
    void apply(const routing_source& source, std::shared_ptr<const routing_table> table,
               const std::string& from);
    void note_complete();
    void answer_followers();
    void answer(const held_poll& poll);
    [[nodiscard]] source_state as_source() const;
    /// Time at which the gateway has something to do without an event.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    event_loop& loop_;
    const platform_binding& binding_;
    peer_timing timing_;
    peer_limits limits_;
    knowledge_handlers handlers_;
    peer_client client_;
    peer_server server_;
    suspect_runner suspects_;
    suspect_store_runner suspect_store_;
    store_runner store_;
    store_replica known_;
    second_source_runner second_;
    std::unique_ptr<peer_group> group_;
    wakeup_timer timer_;
    std::map<std::string, replica_position> positions_; ///< of this gateway at the others, by address
    follower_polls polls_;
    std::map<std::uint64_t, std::shared_ptr<peer_responder>> responders_; ///< of the held polls
    std::uint64_t last_poll_id_ = 0;
    host_census census_;
    host_counts hosts_;
    std::vector<gateway_identity> members_;
    bool watching_ = false;
    bool complete_ = false;
};

} // namespace skylarkseam
