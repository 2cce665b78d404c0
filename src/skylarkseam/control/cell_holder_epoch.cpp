// The holder's detection of changes of members and owners, and the vote that changes the epoch.
#include <skylarkseam/control/cell_holder.hpp>

#include <algorithm>

namespace skylarkseam {

std::optional<time_point> cell_holder::last_heard(const std::string& node) const {
    if (node == state_.self().node) {
        return state_.now;
    }
    const auto found = heartbeats_.find(node);
    return found == heartbeats_.end() ? std::nullopt : std::optional(found->second.at);
}

bool cell_holder::has_timed_out(const member& it) const {
    if (it.node == state_.self().node) {
        return false;
    }
    const auto found = heartbeats_.find(it.node);
    if (found != heartbeats_.end() && found->second.incarnation == it.incarnation) {
        return state_.now - found->second.at >= state_.timing().member_timeout;
    }
    return it.node == timed_out_holder_ || state_.now - holder_since_ >= state_.timing().first_reply_timeout;
}

void cell_holder::detect_timeouts() {
    for (const auto& it : state_.record->owners.members) {
        if (has_timed_out(it) && handled_timeouts_.insert(it.node).second) {
            renew_early();
        }
    }
}

bool cell_holder::is_leaving(const member& it) const {
    if (it.node == state_.self().node) {
        return state_.leaving;
    }
    const auto found = heartbeats_.find(it.node);
    return found != heartbeats_.end() && found->second.leaving;
}

/// Returns whether a member's process has ended, and long enough ago for its promises to have expired. This
/// is known if a later incarnation of the node runs, or if the platform has not listed its host for a long
/// time.
bool cell_holder::has_ended(const member& it) const {
    if (it.node == state_.self().node) {
        return it.incarnation < state_.self().incarnation &&
               state_.now - holder_since_ >=
                   lengthened_by_drift(state_.timing(), state_.timing().promise_duration);
    }
    if (has_timed_out(it) && host_absence_.confirms_end(it.node, state_.now)) {
        return true;
    }
    const auto found = joining_nodes_.find(it.node);
    return found != joining_nodes_.end() && found->second.node.incarnation > it.incarnation &&
           state_.now - found->second.first_request >=
               lengthened_by_drift(state_.timing(), state_.timing().promise_duration);
}

/// Returns the latest time at which the node can have sent a heartbeat that renewed its lease. A heartbeat
/// that an earlier holder acknowledged was sent before this node learned of that holder's last renewal.
time_point cell_holder::lease_renewal_bound(const std::string& node) const {
    const auto found = last_heard(node);
    return found ? std::max(*found, former_lease_bound_) : former_lease_bound_;
}

std::vector<member> cell_holder::next_members() const {
    std::map<std::string, member> next;
    for (const auto& it : state_.record->owners.members) {
        const bool is_older_self =
            it.node == state_.self().node && it.incarnation != state_.self().incarnation;
        if (!has_timed_out(it) && !is_leaving(it) && !is_older_self) {
            next[it.node] = it;
        }
    }
    for (const auto& [node, it] : joining_nodes_) {
        if (state_.now - it.last_request < state_.timing().member_timeout) {
            next[node] = it.node;
        }
    }
    if (!state_.leaving) {
        next[state_.self().node] = state_.self();
    }
    std::vector<member> members;
    members.reserve(next.size());
    for (auto& [node, it] : next) {
        members.push_back(std::move(it));
    }
    return members;
}

epoch_input cell_holder::make_epoch_input(std::vector<member> members) const {
    return {*state_.record,
            std::move(members),
            *state_.config,
            state_.settings.index,
            state_.now,
            [this](const std::string& node) { return lease_renewal_bound(node); },
            [this](const handover& it) { return state_.handovers.may_be_pending(it, state_.now); }};
}

void cell_holder::begin_vote() {
    if (phase_ != phase::idle || !state_.commitments.grant_vote(state_.epoch(), state_.version, state_.now)) {
        return;
    }
    phase_ = phase::voting;
    phase_since_ = state_.now;
    vote_version_ = state_.version;
    voters_.clear();
    state_.send_to_other_members(cell_message::vote_request{state_.epoch(), state_.version});
    count_votes();
}

void cell_holder::on_vote(const cell_envelope& from, const cell_message::vote& body) {
    if (phase_ != phase::voting || !body.granted || body.version != vote_version_ ||
        body.epoch != state_.epoch() || !is_member(*state_.record, from.from, from.incarnation)) {
        return;
    }
    voters_.insert(from.from);
    count_votes();
}

void cell_holder::count_votes() {
    std::size_t n = 0;
    for (const auto& it : state_.record->owners.members) {
        const bool is_self = it.node == state_.self().node && it.incarnation == state_.self().incarnation;
        n += is_self || voters_.contains(it.node) || has_ended(it) ? 1 : 0;
    }
    if (n >= vote_quorum(state_.timing().rule, state_.member_count())) {
        write_epoch();
    }
}

/// Ends a vote without quorum. Requests the host list, which shows whether the missing members have
/// terminated.
void cell_holder::abort_vote() {
    phase_ = phase::idle;
    if (state_.now >= next_host_list_) {
        next_host_list_ = state_.now + state_.timing().host_list_interval;
        ++state_.counters.host_lists;
        state_.out->emplace_back(cell_action::list_hosts{});
    }
}

void cell_holder::on_hosts(const std::set<std::string>& hosts) {
    std::set<std::string> nodes;
    for (const auto& it : state_.record->owners.members) {
        nodes.insert(it.node);
    }
    host_absence_.update(hosts, nodes, state_.self().node, state_.now);
}

void cell_holder::write_epoch() {
    if (!state_.writer.can_call(state_.now) || state_.version != vote_version_) {
        return;
    }
    auto next = plan_epoch(make_epoch_input(next_members()), state_.timing());
    const auto& members = next.owners.members;
    const auto* next_holder = state_.leaving && !members.empty() ? &members.front() : &state_.self();
    next.holder = next_holder->node;
    next.holder_incarnation = next_holder->incarnation;
    next.holder_address = next_holder->peer_address;
    for (const auto& it : state_.record->owners.members) {
        announcement_targets_[it.node] = it;
    }
    phase_ = phase::writing;
    phase_since_ = state_.now;
    state_.last_reason = "epoch changed";
    ++state_.counters.epochs;
    state_.writer.write(state_.version, std::move(next), latest_heartbeats(), state_.now, *state_.out);
}

} // namespace skylarkseam
