#include <skylarkseam/control/cell_follower.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// A node that is not a member leaves the duty to the members for so long.
constexpr duration outsider_delay = milliseconds(800);
/// A takeover is not tried on a record that was read longer ago.
constexpr duration fresh_read = milliseconds(2500);

} // namespace

void cell_follower::begin() {
    holder_heard_ = state_.now;
}

void cell_follower::on_time() {
    if (!state_.record) {
        find_record();
        return;
    }
    if (!state_.self_is_member() && !state_.leaving && state_.now >= next_join_) {
        join();
    }
    if (!state_.leaving && state_.now - holder_heard_ >= state_.timing().holder_silence) {
        watch_holder();
    }
}

void cell_follower::find_record() {
    if (state_.writer.ready(state_.now)) {
        state_.writer.read(state_.now, *state_.out);
    }
    if (state_.now >= next_join_) {
        next_join_ = state_.now + state_.timing().join_interval;
        for (const auto& it : state_.settings.seeds) {
            state_.send(it, cell_message::join{state_.self()});
        }
    }
}

/// Only the holder takes nodes in, but every node can tell who that is.
void cell_follower::on_join(const cell_envelope& from) {
    if (state_.record) {
        state_.send(from.address, cell_message::renewed{state_.epoch(), state_.version, 0, state_.record});
    }
}

void cell_follower::join() {
    next_join_ = state_.now + state_.timing().join_interval;
    if (state_.record->holder != state_.self().node) {
        state_.send(state_.record->holder_address, cell_message::join{state_.self()});
    }
}

void cell_follower::on_missing() {
    if (state_.leaving || !state_.writer.ready(state_.now)) {
        return;
    }
    cell_record first;
    first.holder = state_.self().node;
    first.holder_incarnation = state_.self().incarnation;
    first.holder_address = state_.self().peer_address;
    const ownership nobody;
    const cell_record empty{{}, 0, {}, {}, nobody, {}};
    const epoch_input input{empty,
                            {state_.self()},
                            *state_.config,
                            state_.settings.index,
                            state_.now,
                            [this](const auto&) { return state_.now; },
                            [](const auto&) { return false; }};
    first.owners = plan_epoch(input, state_.timing()).owners;
    state_.writer.write(0, std::move(first), {}, state_.now, *state_.out);
}

void cell_follower::send_alive(const std::string& address) {
    const auto sequence = state_.lease.send(state_.now);
    state_.send(address, cell_message::heartbeat{state_.epoch(), sequence, state_.leaving});
}

void cell_follower::announce_leaving() {
    if (state_.self_is_member()) {
        send_alive(state_.record->holder_address);
    }
}

void cell_follower::on_probe(const cell_envelope& from, const cell_message::probe& body) {
    if (body.version < state_.version) {
        return;
    }
    state_.learn_version(body.epoch, body.version);
    holder_heard_ = state_.now;
    if (state_.record) {
        state_.record->holder = from.from;
        state_.record->holder_incarnation = from.incarnation;
        state_.record->holder_address = from.address;
    }
    send_alive(from.address);
}

void cell_follower::on_renewed(const cell_message::renewed& body) {
    if (body.version < state_.version || body.epoch != state_.epoch()) {
        return;
    }
    holder_heard_ = state_.now;
    if (state_.self_is_member() && body.sequence != 0) {
        state_.lease.acknowledge(body.sequence);
    }
}

void cell_follower::on_vote_request(const cell_envelope& from, const cell_message::vote_request& body) {
    if (!state_.self_is_member()) {
        return;
    }
    const bool granted = state_.promises.vote(body.epoch, body.version, state_.now);
    state_.send(from.address, cell_message::vote{body.epoch, body.version, granted});
}

/// The duty moves no searcher, so it need not wait for the lease: only for a renewal that does not come.
/// Members try one after another, in an order of their names; outsiders after them.
time_point cell_follower::takeover_time() const {
    const auto& members = state_.record->owners.members;
    const auto expired = state_.first_seen + state_.timing().holder_silence;
    if (members.empty()) {
        return state_.first_seen;
    }
    if (!state_.self_is_member()) {
        return expired + outsider_delay;
    }
    const auto it = std::ranges::find(members, state_.self().node, &member::node);
    return expired + (it - members.begin()) * state_.timing().takeover_stagger;
}

void cell_follower::watch_holder() {
    if (!state_.writer.ready(state_.now)) {
        return;
    }
    const auto last_read = state_.writer.last_read();
    const bool read_since_silence =
        last_read && *last_read > holder_heard_ && state_.now - *last_read < fresh_read;
    if (!read_since_silence || state_.writer.needs_read_back()) {
        state_.writer.read(state_.now, *state_.out);
        return;
    }
    if (state_.now >= takeover_time() && state_.promises.epoch() == state_.epoch()) {
        take_over();
    }
}

void cell_follower::take_over() {
    auto next = *state_.record;
    next.holder = state_.self().node;
    next.holder_incarnation = state_.self().incarnation;
    next.holder_address = state_.self().peer_address;
    ++state_.counters.takeovers;
    state_.writer.write(state_.version, std::move(next), {}, state_.now, *state_.out);
}

} // namespace skylarkseam
