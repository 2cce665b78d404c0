#include <skylarkseam/control/cell_follower.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Delay of a takeover by a node that is not a member; members try first.
constexpr duration non_member_delay = milliseconds(800);
/// Largest age of the last read of the record at a takeover.
constexpr duration max_read_age = milliseconds(2500);

} // namespace

void cell_follower::begin() {
    last_holder_message_ = state_.now;
}

void cell_follower::on_time() {
    if (!state_.record) {
        find_record();
        return;
    }
    if (!state_.self_is_member() && !state_.leaving && state_.now >= next_join_) {
        join();
    }
    if (!state_.leaving && state_.now - last_holder_message_ >= state_.timing().holder_timeout) {
        check_holder();
    }
}

void cell_follower::find_record() {
    if (state_.writer.can_call(state_.now)) {
        state_.writer.read(state_.now, *state_.out);
    }
    if (state_.now >= next_join_) {
        next_join_ = state_.now + state_.timing().join_interval;
        for (const auto& it : state_.settings.seeds) {
            state_.send(it, cell_message::join{state_.self()});
        }
    }
}

/// Answers with the record, which names the holder: only the holder admits nodes.
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

void cell_follower::on_missing_record() {
    if (state_.leaving || !state_.writer.can_call(state_.now)) {
        return;
    }
    cell_record first;
    first.holder = state_.self().node;
    first.holder_incarnation = state_.self().incarnation;
    first.holder_address = state_.self().peer_address;
    const ownership no_owners;
    const cell_record empty{{}, 0, {}, {}, no_owners, {}};
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

void cell_follower::send_heartbeat(const std::string& address) {
    const auto sequence = state_.lease.record_send(state_.now);
    state_.send(address, cell_message::heartbeat{state_.epoch(), sequence, state_.leaving});
}

void cell_follower::announce_leaving() {
    if (state_.self_is_member()) {
        send_heartbeat(state_.record->holder_address);
    }
}

void cell_follower::on_probe(const cell_envelope& from, const cell_message::probe& body) {
    if (body.version < state_.version) {
        return;
    }
    state_.observe_version(body.epoch, body.version);
    last_holder_message_ = state_.now;
    if (state_.record) {
        state_.record->holder = from.from;
        state_.record->holder_incarnation = from.incarnation;
        state_.record->holder_address = from.address;
    }
    send_heartbeat(from.address);
}

void cell_follower::on_renewed(const cell_message::renewed& body) {
    if (body.version < state_.version || body.epoch != state_.epoch()) {
        return;
    }
    last_holder_message_ = state_.now;
    if (state_.self_is_member() && body.sequence != 0) {
        state_.lease.acknowledge(body.sequence);
    }
}

void cell_follower::on_vote_request(const cell_envelope& from, const cell_message::vote_request& body) {
    if (!state_.self_is_member()) {
        return;
    }
    const bool granted = state_.commitments.grant_vote(body.epoch, body.version, state_.now);
    state_.send(from.address, cell_message::vote{body.epoch, body.version, granted});
}

/// Returns when this node may take the holder's role over. A takeover changes no searcher's owner; it waits
/// only for the holder's timeout, not for the end of a lease. Members try one after another, ordered by name,
/// and then nodes that are not members.
time_point cell_follower::takeover_time() const {
    const auto& members = state_.record->owners.members;
    const auto expired = state_.version_seen_at + state_.timing().holder_timeout;
    if (members.empty()) {
        return state_.version_seen_at;
    }
    if (!state_.self_is_member()) {
        return expired + non_member_delay;
    }
    const auto it = std::ranges::find(members, state_.self().node, &member::node);
    return expired + (it - members.begin()) * state_.timing().takeover_stagger;
}

void cell_follower::check_holder() {
    if (!state_.writer.can_call(state_.now)) {
        return;
    }
    const auto last_read = state_.writer.last_read();
    const bool read_since_timeout =
        last_read && *last_read > last_holder_message_ && state_.now - *last_read < max_read_age;
    if (!read_since_timeout || state_.writer.needs_read_back()) {
        state_.writer.read(state_.now, *state_.out);
        return;
    }
    if (state_.now >= takeover_time() && state_.commitments.epoch() == state_.epoch()) {
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
