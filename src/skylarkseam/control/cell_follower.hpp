// What a node does that does not renew the record: answers the holder, reads the record when the holder falls
// silent, takes the duty over when the record has not changed for a full lease, and asks to join.
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
    void on_renewed(const cell_envelope& from, const cell_message::renewed& body);
    void on_join(const cell_envelope& from);
    void on_vote_request(const cell_envelope& from, const cell_message::vote_request& body);

    /// Tells the holder that this node is to leave, without waiting for its probe.
    void announce_leaving();

    /// The object does not exist.
    void on_missing();

private:
    void send_alive(const std::string& address);
    void join();
    void find_record();
    void watch_holder();
    void take_over();
    [[nodiscard]] time_point takeover_time() const;

    cell_state& state_;
    time_point holder_heard_{};
    time_point next_join_{};
};

} // namespace skylarkseam
