// Writes the node's ledger: a record for each query, segments to the platform, copies to a peer.
#pragma once

#include <skylarkseam/control/ledger.hpp>
#include <skylarkseam/control/ledger_copies.hpp>
#include <skylarkseam/shell/machine_runner.hpp>
#include <skylarkseam/shell/peer_transport.hpp>

#include <string>
#include <vector>

namespace skylarkseam {

/// How a query ended, as the ledger sees it.
struct ledger_outcome {
    std::string outcome; ///< "served", "accepted", "replayed", or the name of an error kind
    run_state ran = run_state::yes;
    const query_answer* answer = nullptr; ///< nullptr: there is none of this run
    std::string answer_digest;
};

class ledger_runner {
public:
    ledger_runner(event_loop& loop, platform_client& platform, peer_client& peers, std::string node,
                  std::uint64_t incarnation);

    void serve(peer_server& server);
    void set_members(const std::vector<member>& members);

    /// The order of a query among those of this node.
    [[nodiscard]] std::uint64_t next_arrival() { return ++arrivals_; }

    /// Chains a query's record; returns the receipt as a JSON object.
    std::string record(const query_request& request, std::uint64_t arrival, const ledger_outcome& outcome);

    /// Writes the closing record; called once, when nothing is open any more.
    void close();
    [[nodiscard]] std::uint64_t backlog() const { return ledger_.backlog(); }

    /// A section of the state dump.
    [[nodiscard]] std::string state_json() const;

private:
    void perform(ledger_output& output);
    void pass_time_of_copies();
    void call_for_copies(const std::vector<platform_call>& calls);
    void send_to_copy_holder(const char* topic, std::string body);

    event_loop& loop_;
    platform_client& platform_;
    peer_client& peers_;
    std::string node_;
    std::uint64_t incarnation_;
    std::string copy_holder_; ///< peer address; empty: there is no other member
    std::uint64_t arrivals_ = 0;
    ledger ledger_;
    ledger_copies copies_;
    machine_runner<ledger, ledger_input, ledger_output> runner_;
    wakeup_timer copies_timer_;
};

} // namespace skylarkseam
