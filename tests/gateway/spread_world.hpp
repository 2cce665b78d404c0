// Gateways that learn the store's changes from the store or from each other, in virtual time, with hosts that
// the store refuses, hosts that are cut off from it, hosts that stand still and hosts that end.
#pragma once

#include <skylarkseam/gateway/follower_polls.hpp>
#include <skylarkseam/gateway/peer_group.hpp>
#include <skylarkseam/gateway/searcher_polls.hpp>
#include <skylarkseam/gateway/store_follower.hpp>
#include <skylarkseam/gateway/store_replica.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam::testing {

/// What the store does with a host's calls.
enum class store_access { served, refused, silent };

/// One gateway: the decisions of the product with a transport in virtual time.
struct spread_host {
    gateway_identity who;
    std::unique_ptr<peer_group> group;
    std::unique_ptr<store_follower> follower;
    std::unique_ptr<store_replica> known;
    std::map<std::string, replica_position> positions;
    std::unique_ptr<follower_polls> polls;
    searcher_polls second_polls;
    /// The follower of each held poll, and the poll's number there.
    std::map<std::uint64_t, std::pair<spread_host*, std::uint64_t>> second_followers;
    store_access access = store_access::served;
    bool frozen = false;
    bool killed = false;
    /// Whether messages to the host, or from it, are lost: the store's and those of the other hosts.
    bool deaf = false;
    bool mute = false;
    duration extra_delay{}; ///< Additional delay of each message to or from the host, one way
    std::uint64_t last_poll = 0;
    std::uint64_t open_poll = 0;        ///< The poll that waits for an answer; 0 if there is none
    std::uint64_t open_second_poll = 0; ///< The same at the second source
    std::uint64_t store_calls = 0;
    std::uint64_t polls_to_other_zones = 0;
    /// Time at which each version of the configuration came into force.
    std::map<std::uint64_t, time_point> versions;
    std::optional<time_point> evacuated_at;
    /// Time at which the last report of each searcher arrived.
    std::map<std::string, time_point> reported_at;
    std::uint64_t bytes_sent = 0; ///< Of the messages to other hosts, encoded
    std::uint64_t second_bytes_sent = 0;

    [[nodiscard]] bool runs() const { return !frozen && !killed; }
};

/// Hosts of several zones in a region each, and the store. Every host takes its turn at each step.
class spread_world {
public:
    /// \param bound  time within which a change has to be in force on every host that reaches the store
    spread_world(std::size_t zones, std::size_t hosts_per_zone, duration bound);

    void run_for(duration time);
    void change_configuration();
    void evacuate(const std::string& zone);
    /// A searcher reports a change of its state.
    void report(const std::string& searcher);
    /// Whether services limit the rate at their cold searchers.
    void limit_cold_rates();
    void kill(spread_host& it);

    [[nodiscard]] spread_host& host(std::size_t zone, std::size_t n) { return *hosts_[zone][n]; }
    /// Applies `action` to every host.
    void for_each(const std::function<void(spread_host&)>& action);
    /// Time from the last change of the configuration until it was in force on the last host that the store
    /// serves; empty if it is missing on one of them.
    [[nodiscard]] std::optional<duration> time_in_force();
    /// The same for the last evacuation.
    [[nodiscard]] std::optional<duration> time_evacuated();
    /// Time from the last report of a searcher until it was known to the host; empty if it is not.
    [[nodiscard]] std::optional<duration> time_reported(const spread_host& it, const std::string& searcher);
    [[nodiscard]] std::uint64_t store_calls();
    [[nodiscard]] time_point now() const { return now_; }

private:
    struct parked_watch {
        spread_host* host = nullptr;
        store_call call;
        time_point until{};
    };
    struct change {
        store_kind kind;
        std::uint64_t revision;
        store_entry entry;
    };

    void at(time_point when, std::function<void()> action) { events_.emplace(when, std::move(action)); }
    void turn(spread_host& it);
    void run_store_calls(spread_host& it);
    void send(spread_host& it, const store_call& call);
    void serve(spread_host& it, const store_call& call);
    [[nodiscard]] store_answer answer_to(const store_call& call) const;
    void deliver(spread_host& it, store_kind kind, store_answer answer);
    void answer_parked();
    void call_peer(spread_host& it, const peer_call& call);
    void fail_peer_call(spread_host& it, const peer_call& call, duration after);
    void take_poll(spread_host& source, const group_view& view, held_poll poll);
    void answer_polls(spread_host& source);
    void answer_poll(spread_host& source, const held_poll& poll);
    [[nodiscard]] source_state as_source(const spread_host& it) const;
    void call_second(spread_host& it, spread_host& source, const peer_call& call);
    void take_second_poll(spread_host& source, spread_host& from, const held_searcher_poll& poll);
    void answer_second_polls(spread_host& source);
    void note_reports(spread_host& it, const std::vector<registration>& changes);
    /// Whether a message that is sent now arrives.
    [[nodiscard]] static bool passes(const spread_host& from, const spread_host& to) {
        return !from.mute && !to.deaf && !to.frozen && !to.killed;
    }
    void take_update(spread_host& it, const peer_call& call, const group_view& view,
                     const replica_update& update);
    void take_routing(spread_host& it, const routing_source& source);
    void note_evacuations(spread_host& it);
    [[nodiscard]] spread_host* at_address(const std::string& address);
    [[nodiscard]] static duration latency(const spread_host& a, const spread_host& b);
    [[nodiscard]] static duration way_to_store(const spread_host& it);

    peer_timing timing_;
    time_point now_{seconds(100)};
    std::vector<std::vector<std::unique_ptr<spread_host>>> hosts_;
    std::map<std::string, spread_host*> by_address_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<change> changes_;
    std::vector<parked_watch> parked_;
    std::uint64_t revision_ = 10;
    std::uint64_t version_ = 2;
    time_point changed_at_{};
    time_point evacuated_at_{};
    std::map<std::string, time_point> reported_at_;
    std::uint64_t last_second_poll_ = 0;
};

} // namespace skylarkseam::testing
