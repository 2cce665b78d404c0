#include <skylarkseam/control/cell.hpp>
#include <skylarkseam/control/cell_follower.hpp>
#include <skylarkseam/control/cell_holder.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Interval at which the state machine checks its timers. Handovers have wake-ups of their own.
constexpr duration tick_interval = milliseconds(50);

template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

struct cell::impl {
    explicit impl(cell_settings settings)
        : state(std::move(settings)) {}

    cell_state state;
    cell_holder holder{state};
    cell_follower follower{state};
    bool is_holder = false;
    bool left = false;
    authority last_authority;
    time_point next_promise_request{};
    time_point next_release{};

    void dispatch(cell_input& event);
    void on_platform(cell_event::platform_answered& answer);
    void on_record(record_version version, cell_record record, const write_attempt* own_write,
                   duration latency);
    void adopt(cell_record record);
    void update_role(const std::string& former, time_point former_lease_bound);

    void on_message(cell_envelope& message);
    void on_renewed(cell_message::renewed& body);
    void on_promise_request(const cell_envelope& from, const cell_message::promise_request& body);
    void on_promise(const cell_envelope& from, const cell_message::promise& body);
    void on_released(const cell_envelope& from, const cell_message::released& body);

    void on_time();
    void extend_authority();
    void request_promises();
    void send_releases();
    void report_left();
    void report_serving_change(const serving_change& change);
    void report_authority();
};

void cell::impl::dispatch(cell_input& event) {
    std::visit(overloaded{
                   [&](cell_event::platform_answered& it) { on_platform(it); },
                   [&](cell_event::hosts_listed& it) {
                       if (is_holder) {
                           holder.on_hosts(it.hosts);
                       }
                   },
                   [&](cell_event::message_arrived& it) { on_message(it.message); },
                   [&](cell_event::configuration_changed& it) {
                       state.config = std::move(it.config);
                       if (is_holder) {
                           holder.renew_early();
                       }
                   },
                   [&](cell_event::searcher_drained& it) { state.handovers.mark_drained(it.searcher); },
                   [&](cell_event::leave_requested&) {
                       state.leaving = true;
                       if (is_holder) {
                           holder.renew_early();
                       } else {
                           follower.announce_leaving();
                       }
                   },
                   [&](cell_event::time_passed&) {},
               },
               event);
    on_time();
}

void cell::impl::on_platform(cell_event::platform_answered& answer) {
    auto found = state.writer.on_answer(answer, state.now);
    if (found.record) {
        on_record(found.version, std::move(*found.record), found.own_write ? &*found.own_write : nullptr,
                  found.latency);
    } else if (found.missing && !state.record) {
        follower.on_missing_record();
    } else if (found.conflict && state.writer.can_call(state.now)) {
        state.writer.read(state.now, *state.out);
    }
}

/// Processes the record as it was at `version`.
/// \param own_write  the update of this node that wrote it; null if another node did
void cell::impl::on_record(record_version version, cell_record record, const write_attempt* own_write,
                           duration latency) {
    if (version < state.version) {
        return;
    }
    const auto former_lease_bound = state.version_seen_at;
    const auto former = state.record ? state.record->holder : std::string();
    state.observe_version(record.owners.epoch, version);
    if (!state.record || record.owners.epoch > state.epoch()) {
        adopt(std::move(record));
    } else if (record.owners.epoch == state.epoch()) {
        state.record = std::move(record);
    }
    const bool took_over = own_write != nullptr && former != state.self().node;
    update_role(took_over ? former : std::string(), took_over ? former_lease_bound : state.version_seen_at);
    if (own_write != nullptr && is_holder) {
        holder.on_renewed(*own_write, latency);
    } else if (own_write != nullptr) {
        holder.announce(*own_write, true);
    }
}

void cell::impl::adopt(cell_record record) {
    state.record = std::move(record);
    state.lease.clear_promises();
    if (!state.self_is_member()) {
        state.lease.revoke();
    }
    state.last_reason = "epoch " + std::to_string(state.epoch()) + " learned";
    state.out->emplace_back(
        cell_action::ownership_changed{std::make_shared<const ownership>(state.record->owners)});
    serving_change change;
    state.handovers.adopt(*state.record, state.now, change);
    report_serving_change(change);
}

void cell::impl::update_role(const std::string& former, time_point former_lease_bound) {
    const bool now_holder = state.self_is_holder();
    if (now_holder == is_holder) {
        return;
    }
    is_holder = now_holder;
    state.last_reason = is_holder ? "took the holder's duty over" : "another node is the holder";
    if (is_holder) {
        holder.begin(former, former_lease_bound);
    } else {
        holder.end();
        follower.begin();
    }
}

void cell::impl::on_message(cell_envelope& message) {
    if (message.cell != state.settings.name || message.from == state.self().node) {
        return;
    }
    std::visit(overloaded{
                   [&](cell_message::probe& it) {
                       follower.on_probe(message, it);
                       update_role({}, state.version_seen_at);
                   },
                   [&](cell_message::heartbeat& it) {
                       if (is_holder) {
                           holder.on_heartbeat(message, it);
                       }
                   },
                   [&](cell_message::renewed& it) { on_renewed(it); },
                   [&](cell_message::join& it) {
                       if (is_holder) {
                           holder.on_join(message, it);
                       } else {
                           follower.on_join(message);
                       }
                   },
                   [&](cell_message::vote_request& it) { follower.on_vote_request(message, it); },
                   [&](cell_message::vote& it) {
                       if (is_holder) {
                           holder.on_vote(message, it);
                       }
                   },
                   [&](cell_message::promise_request& it) { on_promise_request(message, it); },
                   [&](cell_message::promise& it) { on_promise(message, it); },
                   [&](cell_message::released& it) { on_released(message, it); },
                   [&](cell_message::release_received& it) {
                       for (const auto& name : it.searchers) {
                           state.handovers.release_received(name);
                       }
                   },
               },
               message.body);
}

void cell::impl::on_renewed(cell_message::renewed& body) {
    if (body.record && body.record->owners.epoch == body.epoch) {
        on_record(body.version, std::move(*body.record), nullptr, {});
    }
    if (!is_holder) {
        follower.on_renewed(body);
    }
}

/// Grants a promise only while this member's own lease is not renewed and it cannot reach the platform. As
/// long as a holder reaches the platform, that holder decides on changes of the epoch.
void cell::impl::on_promise_request(const cell_envelope& from, const cell_message::promise_request& body) {
    if (!state.self_is_member() || body.epoch != state.epoch() ||
        !is_member(*state.record, from.from, from.incarnation)) {
        return;
    }
    const bool lease_stalled = state.lease_older_than(state.timing().platform_check_after) &&
                               !state.writer.platform_reachable(state.now);
    const auto until = state.now + lengthened_by_drift(state.timing(), state.timing().promise_duration);
    const bool granted = lease_stalled && state.commitments.grant_promise(body.epoch, until);
    state.send(from.address, cell_message::promise{body.epoch, body.sequence, granted});
}

void cell::impl::on_promise(const cell_envelope& from, const cell_message::promise& body) {
    if (body.granted && body.epoch == state.epoch() && state.self_is_member() &&
        is_member(*state.record, from.from, from.incarnation)) {
        state.lease.add_promise(from.from, body.sequence);
    }
}

void cell::impl::on_released(const cell_envelope& from, const cell_message::released& body) {
    serving_change change;
    if (state.handovers.on_release(from.from, from.incarnation, body.epoch, body.searchers, state.now,
                                   change)) {
        state.send(from.address, cell_message::release_received{body.searchers});
    }
    report_serving_change(change);
}

void cell::impl::on_time() {
    if (is_holder) {
        holder.on_time();
    } else {
        follower.on_time();
    }
    serving_change change;
    state.handovers.advance(state.now, change);
    report_serving_change(change);
    if (state.self_is_member() && state.lease.renewed_at() &&
        state.lease_older_than(state.timing().platform_check_after)) {
        extend_authority();
    }
    if (state.record && state.now >= next_release && !state.handovers.unacknowledged_releases().empty()) {
        send_releases();
    }
    report_left();
    report_authority();
}

/// Checks the platform while the lease is not renewed, and requests promises if the platform is unreachable.
void cell::impl::extend_authority() {
    const auto& timing = state.timing();
    const auto interval = state.writer.platform_reachable(state.now) ? timing.platform_check_interval
                                                                     : timing.failed_platform_check_interval;
    if (!is_holder && state.writer.can_call(state.now) && state.now - state.writer.last_call() >= interval) {
        state.writer.read(state.now, *state.out);
    }
    if (state.lease_older_than(timing.promise_request_after) && !state.writer.platform_reachable(state.now) &&
        state.now >= next_promise_request) {
        request_promises();
    }
}

void cell::impl::request_promises() {
    const bool covered = last_authority.full_until - state.now > state.timing().promise_interval;
    next_promise_request =
        state.now + (covered ? state.timing().promise_interval : state.timing().promise_retry_interval);
    const auto sequence = state.lease.record_send(state.now);
    if (state.commitments.grant_promise(
            state.epoch(),
            state.now + lengthened_by_drift(state.timing(), state.timing().promise_duration))) {
        state.lease.add_promise(state.self().node, sequence);
    }
    state.send_to_other_members(cell_message::promise_request{state.epoch(), sequence});
}

void cell::impl::send_releases() {
    next_release = state.now + state.timing().release_interval;
    std::map<std::string, std::vector<std::string>> by_owner;
    const auto searchers = state.handovers.unacknowledged_releases();
    for (const auto& it : searchers) {
        const auto owner = state.record->owners.owner_of.find(it);
        if (owner == state.record->owners.owner_of.end() || owner->second == state.self().node) {
            state.handovers.release_received(it);
        } else {
            by_owner[owner->second].push_back(it);
        }
    }
    for (auto& [node, names] : by_owner) {
        if (const auto* owner = find_member(state.record->owners.members, node); owner != nullptr) {
            state.send(owner->peer_address, cell_message::released{state.epoch(), std::move(names)});
        }
    }
}

void cell::impl::report_left() {
    const bool handed_over_all =
        state.handovers.draining().empty() && state.handovers.unacknowledged_releases().empty();
    if (state.leaving && !left && (!is_holder || state.member_count() == 0) && !state.self_is_member() &&
        handed_over_all) {
        left = true;
        state.out->emplace_back(cell_action::left{});
    }
}

void cell::impl::report_serving_change(const serving_change& change) {
    if (change.empty()) {
        return;
    }
    const auto& serving = state.handovers.serving();
    state.out->emplace_back(
        cell_action::serve{{serving.begin(), serving.end()}, change.handed_over, change.stopped});
}

void cell::impl::report_authority() {
    const auto value = state.self_is_member() ? state.lease.current(state.member_count()) : authority{};
    if (value.full_until != last_authority.full_until || value.warm_until != last_authority.warm_until) {
        last_authority = value;
        state.out->emplace_back(cell_action::authority_changed{value});
    }
}

cell::cell(cell_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}

cell::~cell() = default;

void cell::handle(cell_input event, time_point now, std::vector<cell_output>& out) {
    impl_->state.now = now;
    impl_->state.out = &out;
    impl_->dispatch(event);
    impl_->state.out = nullptr;
}

time_point cell::next_wakeup() const {
    const auto regular = impl_->state.now + tick_interval;
    const auto handover = impl_->state.handovers.next_wakeup();
    return handover ? std::max(impl_->state.now, std::min(*handover, regular)) : regular;
}

cell_view cell::view(time_point now) const {
    const auto& state = impl_->state;
    cell_view view;
    view.cell = state.settings.name;
    view.epoch = state.epoch();
    view.version = state.version;
    view.is_holder = impl_->is_holder;
    view.is_member = state.self_is_member();
    view.backed_by_promises = view.is_member && state.lease_older_than(state.timing().lease);
    view.full_for = std::max(impl_->last_authority.full_until - now, duration::zero());
    view.warm_for = std::max(impl_->last_authority.warm_until - now, duration::zero());
    view.serving = {state.handovers.serving().begin(), state.handovers.serving().end()};
    view.waiting = state.handovers.waiting();
    view.last_reason = state.last_reason;
    if (!state.record) {
        return view;
    }
    view.holder = state.record->holder;
    for (const auto& it : state.record->owners.members) {
        const auto heard = impl_->holder.last_heard(it.node);
        view.members.push_back({it, heard ? now - *heard : duration::zero()});
    }
    return view;
}

const cell_counters& cell::counters() const {
    auto& counters = impl_->state.counters;
    counters.reads = impl_->state.writer.reads();
    counters.writes = impl_->state.writer.writes();
    return counters;
}

} // namespace skylarkseam
