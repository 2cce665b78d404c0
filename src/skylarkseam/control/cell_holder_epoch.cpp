// How the holder finds that members or owners have to change, and changes the epoch by votes.
#include <skylarkseam/control/cell_holder.hpp>

#include <algorithm>

namespace skylarkseam {

std::optional<time_point> cell_holder::last_heard(const std::string& node) const {
    if (node == state_.self().node) {
        return state_.now;
    }
    const auto found = heard_.find(node);
    return found == heard_.end() ? std::nullopt : std::optional(found->second.at);
}

bool cell_holder::is_silent(const member& it) const {
    if (it.node == state_.self().node) {
        return false;
    }
    const auto found = heard_.find(it.node);
    if (found != heard_.end() && found->second.incarnation == it.incarnation) {
        return state_.now - found->second.at >= state_.timing().member_silence;
    }
    return it.node == presumed_dead_ || state_.now - duty_since_ >= state_.timing().first_reply;
}

void cell_holder::note_silence() {
    for (const auto& it : state_.record->owners.members) {
        if (is_silent(it) && silent_.insert(it.node).second) {
            hurry();
        }
    }
}

bool cell_holder::is_leaving(const member& it) const {
    if (it.node == state_.self().node) {
        return state_.leaving;
    }
    const auto found = heard_.find(it.node);
    return found != heard_.end() && found->second.leaving;
}

/// Whether a member's process has certainly ended, long enough ago for its promises to be over: the same node
/// runs again, or the platform has long dropped its host.
bool cell_holder::is_gone(const member& it) const {
    if (it.node == state_.self().node) {
        return it.incarnation < state_.self().incarnation &&
               state_.now - duty_since_ >= lengthened(state_.timing(), state_.timing().promise);
    }
    if (is_silent(it) && absence_.proves_end(it.node, state_.now)) {
        return true;
    }
    const auto found = joining_.find(it.node);
    return found != joining_.end() && found->second.node.incarnation > it.incarnation &&
           state_.now - found->second.first >= lengthened(state_.timing(), state_.timing().promise);
}

/// No sign of life that an earlier holder acknowledged was sent after this node learned of its last renewal.
time_point cell_holder::lease_heard(const std::string& node) const {
    const auto found = last_heard(node);
    return found ? std::max(*found, lease_floor_) : lease_floor_;
}

std::vector<member> cell_holder::next_members() const {
    std::map<std::string, member> next;
    for (const auto& it : state_.record->owners.members) {
        const bool is_older_self =
            it.node == state_.self().node && it.incarnation != state_.self().incarnation;
        if (!is_silent(it) && !is_leaving(it) && !is_older_self) {
            next[it.node] = it;
        }
    }
    for (const auto& [node, it] : joining_) {
        if (state_.now - it.last < state_.timing().member_silence) {
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

epoch_input cell_holder::next_epoch(std::vector<member> members) const {
    return {*state_.record,
            std::move(members),
            *state_.config,
            state_.settings.index,
            state_.now,
            [this](const std::string& node) { return lease_heard(node); },
            [this](const handover& it) { return state_.handovers.still_waiting(it, state_.now); }};
}

void cell_holder::begin_vote() {
    if (phase_ != phase::idle || !state_.promises.vote(state_.epoch(), state_.version, state_.now)) {
        return;
    }
    phase_ = phase::voting;
    phase_since_ = state_.now;
    vote_version_ = state_.version;
    votes_.clear();
    state_.send_to_other_members(cell_message::vote_request{state_.epoch(), state_.version});
    count_votes();
}

void cell_holder::on_vote(const cell_envelope& from, const cell_message::vote& body) {
    if (phase_ != phase::voting || !body.granted || body.version != vote_version_ ||
        body.epoch != state_.epoch() || !is_member(*state_.record, from.from, from.incarnation)) {
        return;
    }
    votes_.insert(from.from);
    count_votes();
}

void cell_holder::count_votes() {
    std::size_t n = 0;
    for (const auto& it : state_.record->owners.members) {
        const bool is_self = it.node == state_.self().node && it.incarnation == state_.self().incarnation;
        n += is_self || votes_.contains(it.node) || is_gone(it) ? 1 : 0;
    }
    if (n >= vote_quorum(state_.timing().rule, state_.member_count())) {
        write_epoch();
    }
}

/// Too few members have voted: perhaps those that are missing have ended for good.
void cell_holder::give_up_vote() {
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
    absence_.take(hosts, nodes, state_.self().node, state_.now);
}

void cell_holder::write_epoch() {
    if (!state_.writer.ready(state_.now) || state_.version != vote_version_) {
        return;
    }
    auto next = plan_epoch(next_epoch(next_members()), state_.timing());
    const auto& members = next.owners.members;
    const auto* heir = state_.leaving && !members.empty() ? &members.front() : &state_.self();
    next.holder = heir->node;
    next.holder_incarnation = heir->incarnation;
    next.holder_address = heir->peer_address;
    for (const auto& it : state_.record->owners.members) {
        announced_to_[it.node] = it;
    }
    phase_ = phase::writing;
    phase_since_ = state_.now;
    state_.last_reason = "epoch changed";
    ++state_.counters.epochs;
    state_.writer.write(state_.version, std::move(next), signs_of_life(), state_.now, *state_.out);
}

} // namespace skylarkseam
