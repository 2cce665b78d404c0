// The holder's part of the cell protocol: probes the members for heartbeats, renews the record on behalf of
// those that answered, and changes the epoch when members or owners have to change.
#pragma once

#include <skylarkseam/control/cell_state.hpp>
#include <skylarkseam/control/host_absence.hpp>

#include <set>

namespace skylarkseam {

class cell_holder {
public:
    explicit cell_holder(cell_state& state)
        : state_(state)
        , host_absence_(state.timing()) {}

    /// Starts the holder's role on this node.
    /// \param former              node name of the holder that timed out; empty if it handed the role over
    /// \param former_lease_bound  latest time from which a lease renewed by an earlier holder can count
    void begin(const std::string& former, time_point former_lease_bound);
    void end();

    void on_time();
    void on_renewed(const write_attempt& own_write, duration latency);
    void on_heartbeat(const cell_envelope& from, const cell_message::heartbeat& body);
    void on_join(const cell_envelope& from, const cell_message::join& body);
    void on_vote(const cell_envelope& from, const cell_message::vote& body);
    void on_hosts(const std::set<std::string>& hosts);

    /// Sends the members the result of an update.
    /// \param new_epoch  whether the messages include the record
    void announce(const write_attempt& own_write, bool new_epoch);

    /// Schedules the next renewal early because members or owners may have to change.
    void renew_early();

    [[nodiscard]] std::optional<time_point> last_heard(const std::string& node) const;

private:
    enum class phase { idle, probing, writing, voting };

    struct member_heartbeat {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        epoch_id epoch = 0; ///< Latest epoch known to the member.
        time_point at{};
        bool leaving = false;
    };
    struct joining_node {
        member node;
        time_point first_request{};
        time_point last_request{};
    };

    void start_round();
    void probe_late_members();
    [[nodiscard]] bool all_replied() const;
    void write_renewal();
    [[nodiscard]] std::map<std::string, std::uint64_t> latest_heartbeats() const;

    [[nodiscard]] bool has_timed_out(const member& it) const;
    void detect_timeouts();
    [[nodiscard]] bool is_leaving(const member& it) const;
    [[nodiscard]] bool has_ended(const member& it) const;
    [[nodiscard]] time_point lease_renewal_bound(const std::string& node) const;
    [[nodiscard]] std::vector<member> next_members() const;
    [[nodiscard]] epoch_input make_epoch_input(std::vector<member> members) const;

    void begin_vote();
    void count_votes();
    void abort_vote();
    void write_epoch();
    void finish_joins();

    cell_state& state_;
    phase phase_ = phase::idle;
    time_point phase_since_{};
    time_point next_round_{};
    time_point last_probe_{};
    time_point holder_since_{};
    time_point former_lease_bound_{};
    std::string timed_out_holder_;
    std::map<std::string, member_heartbeat> heartbeats_;
    std::set<std::string> replied_members_; ///< Members that sent a heartbeat in this round.
    /// Members that timed out, for which an early renewal was scheduled.
    std::set<std::string> handled_timeouts_;
    std::map<std::string, joining_node> joining_nodes_;
    std::set<std::string> voters_;
    record_version vote_version_ = 0;
    host_absence host_absence_;
    time_point next_host_list_{};
    /// Members before the epoch change in progress, which must learn of it.
    std::map<std::string, member> announcement_targets_;
};

} // namespace skylarkseam
