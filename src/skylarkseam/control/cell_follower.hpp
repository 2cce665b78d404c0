// The part of the cell protocol for nodes that are not the holder: answers the holder, reads the record when
// the holder times out, takes the holder's role over if the record is not renewed, and requests to join the
// cell.
#pragma once

#include <skylarkseam/control/cell_state.hpp>

namespace skylarkseam {

class cell_follower {
public:
    explicit cell_follower(cell_state& state)
        : state_(state) {}

    void begin();
    void on_time();
    void on_probe(const cell_envelope& from, const cell_message::probe& body);
    void on_renewed(const cell_message::renewed& body);
    void on_join(const cell_envelope& from);
    void on_vote_request(const cell_envelope& from, const cell_message::vote_request& body);

    /// Informs the holder that this node wants to leave, without waiting for a probe.
    void announce_leaving();

    /// Creates the first record, because the platform has none.
    void on_missing_record();

private:
    void send_heartbeat(const std::string& address);
    void join();
    void find_record();
    void check_holder();
    void take_over();
    [[nodiscard]] time_point takeover_time() const;

    cell_state& state_;
    time_point last_holder_message_{};
    time_point next_join_{};
};

} // namespace skylarkseam
