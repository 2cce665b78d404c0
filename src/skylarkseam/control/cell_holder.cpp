#include <skylarkseam/control/cell_holder.hpp>

#include <algorithm>

namespace skylarkseam {

void cell_holder::begin(const std::string& former, time_point former_lease_bound) {
    phase_ = phase::idle;
    holder_since_ = state_.now;
    next_round_ = state_.now;
    former_lease_bound_ = former_lease_bound;
    timed_out_holder_ = former;
    heartbeats_.clear();
    handled_timeouts_.clear();
    joining_nodes_.clear();
    voters_.clear();
}

void cell_holder::end() {
    phase_ = phase::idle;
    voters_.clear();
}

void cell_holder::renew_early() {
    if (phase_ == phase::idle) {
        next_round_ =
            std::min(next_round_, std::max(state_.now, phase_since_ + state_.timing().probe_timeout));
    }
}

void cell_holder::on_time() {
    detect_timeouts();
    const auto time_in_phase = state_.now - phase_since_;
    switch (phase_) {
    case phase::idle:
    case phase::probing:
        if (state_.now >= next_round_) {
            start_round();
        } else if (phase_ == phase::probing &&
                   (all_replied() || time_in_phase >= state_.timing().probe_timeout)) {
            write_renewal();
        }
        break;
    case phase::writing:
        if (time_in_phase >= state_.timing().platform_timeout) {
            phase_ = phase::idle;
        }
        break;
    case phase::voting:
        if (time_in_phase >= state_.timing().probe_timeout) {
            abort_vote();
        }
        break;
    }
    if (state_.now >= last_probe_ + state_.timing().probe_interval) {
        probe_late_members();
    }
}

void cell_holder::start_round() {
    phase_ = phase::probing;
    phase_since_ = state_.now;
    last_probe_ = state_.now;
    next_round_ = state_.now + state_.timing().renew_interval;
    replied_members_.clear();
    state_.send_to_other_members(cell_message::probe{state_.epoch(), state_.version});
    if (all_replied()) {
        write_renewal();
    }
}

void cell_holder::probe_late_members() {
    last_probe_ = state_.now;
    const auto late = state_.timing().renew_interval + state_.timing().probe_interval;
    for (const auto& it : state_.record->owners.members) {
        const auto heard = last_heard(it.node);
        if (it.node != state_.self().node && (!heard || state_.now - *heard >= late) && !has_timed_out(it)) {
            state_.send(it.peer_address, cell_message::probe{state_.epoch(), state_.version});
        }
    }
}

bool cell_holder::all_replied() const {
    return std::ranges::all_of(state_.record->owners.members, [&](const member& it) {
        return it.node == state_.self().node || replied_members_.contains(it.node) || has_timed_out(it);
    });
}

std::map<std::string, std::uint64_t> cell_holder::latest_heartbeats() const {
    std::map<std::string, std::uint64_t> latest;
    for (const auto& [node, it] : heartbeats_) {
        latest[node] = it.sequence;
    }
    return latest;
}

void cell_holder::write_renewal() {
    if (!state_.writer.can_call(state_.now)) {
        return;
    }
    if (state_.writer.needs_read_back()) {
        state_.writer.read(state_.now, *state_.out);
        return;
    }
    phase_ = phase::writing;
    phase_since_ = state_.now;
    auto next = *state_.record;
    std::erase_if(next.handovers,
                  [&](const handover& it) { return !state_.handovers.may_be_pending(it, state_.now); });
    state_.writer.write(state_.version, std::move(next), latest_heartbeats(), state_.now, *state_.out);
}

void cell_holder::on_renewed(const write_attempt& own_write, duration latency) {
    if (state_.self_is_member()) {
        state_.lease.renew(own_write.sent);
    }
    if (phase_ == phase::writing) {
        phase_ = phase::idle;
    }
    finish_joins();
    const bool new_epoch = !announcement_targets_.empty();
    announce(own_write, new_epoch);
    if (latency <= state_.timing().max_usable_latency &&
        epoch_change_needed(make_epoch_input(next_members()))) {
        begin_vote();
    }
}

void cell_holder::finish_joins() {
    for (auto it = joining_nodes_.begin(); it != joining_nodes_.end();) {
        const auto& node = it->second.node;
        if (!is_member(*state_.record, node.node, node.incarnation)) {
            ++it;
            continue;
        }
        heartbeats_[node.node] = {node.incarnation, 0, 0, state_.now, false};
        handled_timeouts_.erase(node.node);
        it = joining_nodes_.erase(it);
    }
}

void cell_holder::announce(const write_attempt& own_write, bool new_epoch) {
    for (const auto& it : state_.record->owners.members) {
        announcement_targets_[it.node] = it;
    }
    for (const auto& [node, it] : announcement_targets_) {
        if (node == state_.self().node) {
            continue;
        }
        const auto heard = heartbeats_.find(node);
        const bool knows_epoch = heard != heartbeats_.end() && heard->second.epoch >= state_.epoch();
        const auto sequence = own_write.acknowledged.find(node);
        cell_message::renewed body{state_.epoch(),
                                   state_.version,
                                   sequence == own_write.acknowledged.end() ? 0 : sequence->second,
                                   {}};
        if (new_epoch || !knows_epoch) {
            body.record = state_.record;
        }
        state_.send(it.peer_address, std::move(body));
    }
    announcement_targets_.clear();
}

void cell_holder::on_heartbeat(const cell_envelope& from, const cell_message::heartbeat& body) {
    if (!is_member(*state_.record, from.from, from.incarnation)) {
        return;
    }
    auto& it = heartbeats_[from.from];
    const bool starts_leaving = body.leaving && !it.leaving;
    it = {from.incarnation, std::max(it.sequence, body.sequence), body.epoch, state_.now, body.leaving};
    replied_members_.insert(from.from);
    handled_timeouts_.erase(from.from);
    if (starts_leaving) {
        renew_early();
    }
    if (phase_ == phase::probing && all_replied()) {
        write_renewal();
    }
}

void cell_holder::on_join(const cell_envelope& from, const cell_message::join& body) {
    state_.send(from.address, cell_message::probe{state_.epoch(), state_.version});
    if (is_member(*state_.record, body.node.node, body.node.incarnation)) {
        state_.send(from.address, cell_message::renewed{state_.epoch(), state_.version, 0, state_.record});
        return;
    }
    const auto* known = find_member(state_.record->owners.members, body.node.node);
    if (known != nullptr && known->incarnation > body.node.incarnation) {
        return;
    }
    auto [it, is_new] =
        joining_nodes_.try_emplace(body.node.node, joining_node{body.node, state_.now, state_.now});
    if (it->second.node.incarnation < body.node.incarnation) {
        it->second = {body.node, state_.now, state_.now};
        is_new = true;
    }
    it->second.last_request = state_.now;
    if (is_new) {
        renew_early();
    }
}

} // namespace skylarkseam
