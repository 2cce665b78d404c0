// The duty of the member that renews the cell's record: asks the members for signs of life, renews for those
// that answered, and changes the epoch when members or owners have to change.
#pragma once

#include <skylarkseam/control/cell_state.hpp>
#include <skylarkseam/control/host_absence.hpp>

#include <set>

namespace skylarkseam {

class cell_holder {
public:
    explicit cell_holder(cell_state& state)
        : state_(state)
        , absence_(state.timing()) {}

    /// Takes the duty over.
    /// \param former       the holder that fell silent; empty if it handed the duty over
    /// \param lease_floor  no lease that an earlier holder renewed counts from a later time
    void begin(const std::string& former, time_point lease_floor);
    void end();

    void on_time();
    void on_renewed(const write_attempt& own, duration latency);
    void on_alive(const cell_envelope& from, const cell_message::heartbeat& body);
    void on_join(const cell_envelope& from, const cell_message::join& body);
    void on_vote(const cell_envelope& from, const cell_message::vote& body);
    void on_hosts(const std::set<std::string>& hosts);

    /// Tells the members what an update has brought them. \param new_epoch  the record goes with it
    void announce(const write_attempt& own, bool new_epoch);

    /// Members or owners may have to change: does not wait for the next regular renewal.
    void hurry();

    [[nodiscard]] std::optional<time_point> last_heard(const std::string& node) const;

private:
    enum class phase { idle, probing, writing, voting };

    struct heard_member {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        epoch_id epoch = 0; ///< that the member knows
        time_point at{};
        bool leaving = false;
    };
    struct joining_node {
        member node;
        time_point first{};
        time_point last{};
    };

    void start_round();
    void probe_late_members();
    [[nodiscard]] bool all_replied() const;
    void write_renewal();
    [[nodiscard]] std::map<std::string, std::uint64_t> signs_of_life() const;

    [[nodiscard]] bool is_silent(const member& it) const;
    void note_silence();
    [[nodiscard]] bool is_leaving(const member& it) const;
    [[nodiscard]] bool is_gone(const member& it) const;
    [[nodiscard]] time_point lease_heard(const std::string& node) const;
    [[nodiscard]] std::vector<member> next_members() const;
    [[nodiscard]] epoch_input next_epoch(std::vector<member> members) const;

    void begin_vote();
    void count_votes();
    void give_up_vote();
    void write_epoch();
    void admit_joined();

    cell_state& state_;
    phase phase_ = phase::idle;
    time_point phase_since_{};
    time_point next_round_{};
    time_point last_probe_{};
    time_point duty_since_{};
    time_point lease_floor_{};
    std::string presumed_dead_;
    std::map<std::string, heard_member> heard_;
    std::set<std::string> replied_; ///< in this round
    std::set<std::string> silent_;  ///< members that fell silent, as already acted on
    std::map<std::string, joining_node> joining_;
    std::set<std::string> votes_;
    record_version vote_version_ = 0;
    host_absence absence_;
    time_point next_host_list_{};
    std::map<std::string, member> announced_to_; ///< members of the epoch before the latest change
};

} // namespace skylarkseam
