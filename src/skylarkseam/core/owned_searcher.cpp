#include <skylarkseam/core/owned_searcher.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Longest time for which the health endpoint may still report an old state.
constexpr duration max_health_report_lag = seconds(2);

} // namespace

owned_searcher::owned_searcher(std::string name, time_point now)
    : name_(std::move(name))
    , ramp_(cold_start{}, 1, now) {}

void owned_searcher::configure(const upstream_group* group, const searcher* settings,
                               const sharing_rule* rule, bool in_service, time_point now) {
    if (group == nullptr || settings == nullptr) {
        in_service_ = false;
        return;
    }
    const bool address_changed = !address_.empty() && address_ != settings->address;
    group_ = group->name;
    address_ = settings->address;
    ramp_.set_settings(group->cold, std::min(group->slots, group->connections));
    queue.set_rule(rule);
    if (address_changed || (in_service && !in_service_)) {
        ramp_.on_signal(cold_signal::returned, now);
    }
    in_service_ = in_service;
}

void owned_searcher::take_over(bool handed_over, time_point now) {
    if (owned_) {
        return;
    }
    owned_ = true;
    next_poll_at = now;
    if (handed_over) {
        ramp_.start_warm();
    } else {
        ramp_.on_signal(cold_signal::taken_over, now);
    }
}

bool owned_searcher::can_dispatch(const authority& granted, time_point now) const {
    return refusal_reason(granted, now).empty();
}

bool owned_searcher::can_dispatch_ignoring_breaker(const authority& granted, time_point now) const {
    return refusal_reason_ignoring_breaker(granted, now).empty();
}

std::string_view owned_searcher::refusal_reason(const authority& granted, time_point now) const {
    const auto reason = refusal_reason_ignoring_breaker(granted, now);
    if (!reason.empty()) {
        return reason;
    }
    return breaker_.allows(now) ? std::string_view{} : "breaker open";
}

std::string_view owned_searcher::refusal_reason_ignoring_breaker(const authority& granted,
                                                                 time_point now) const {
    if (!owned_) {
        return "not owned by this node";
    }
    if (!in_service_) {
        return "taken out";
    }
    if (draining_) {
        return "draining";
    }
    if (now >= granted.full_until && (now >= granted.warm_until || ramp_.cold())) {
        return "no authority";
    }
    return {};
}

void owned_searcher::on_dispatch(time_point now) {
    ++in_flight_;
    breaker_.on_send(now);
}

void owned_searcher::on_answer(const upstream_answer& answer, time_point sent, time_point now) {
    update_boot_id(answer_boot_id_, answer.boot_id, now);
    if (answer.state) {
        on_answered_state(*answer.state, now);
    }
    if (answer.connection_reset) {
        ramp_.on_signal(cold_signal::connection_reset, now);
    }
    switch (answer.outcome) {
    case subquery_outcome::answered:
        answered_since_poll_ = true;
        breaker_.on_success();
        if (latency_jump_.add(now - sent)) {
            ramp_.on_signal(cold_signal::latency_jump, now);
        } else {
            ramp_.on_success(sent, now);
        }
        break;
    case subquery_outcome::not_run_shed:
        answered_since_poll_ = true;
        ramp_.on_signal(cold_signal::shed, now);
        break;
    case subquery_outcome::snapshot_not_held:
    case subquery_outcome::shard_not_held:
        answered_since_poll_ = true;
        break;
    case subquery_outcome::failed:
    case subquery_outcome::timed_out:
        breaker_.on_failure(now);
        break;
    case subquery_outcome::not_run_refused:
    case subquery_outcome::cancelled:
        break;
    }
}

void owned_searcher::on_health(const upstream_health& health, time_point now) {
    poll_in_flight = false;
    if (!health.reachable) {
        if (!answered_since_poll_) {
            ramp_.on_signal(cold_signal::unreachable, now);
        }
        answered_since_poll_ = false;
        return;
    }
    answered_since_poll_ = false;
    update_boot_id(health_boot_id_, health.boot_id, now);
    on_health_state(health.state, now);
    held_shards_ = health.shards;
    std::sort(held_shards_.begin(), held_shards_.end(),
              [](const auto& a, const auto& b) { return a.shard < b.shard; });
    for (auto& it : held_shards_) {
        std::sort(it.snapshots.begin(), it.snapshots.end());
    }
}

void owned_searcher::on_answered_state(upstream_state state, time_point now) {
    if (state == upstream_state::draining) {
        draining_ = true;
        drain_reported_at_ = now;
    }
    ramp_.on_reported_state(state_source::answer, state == upstream_state::cold, now);
}

/// Applies the state reported by the health endpoint. Only the health endpoint can end a drain, because a
/// draining searcher gets no requests. A health report within max_health_report_lag after an answer that
/// reported "draining" may be outdated, so it does not end the drain.
void owned_searcher::on_health_state(upstream_state state, time_point now) {
    if (state == upstream_state::draining) {
        draining_ = true;
    } else if (draining_ && now >= drain_reported_at_ + max_health_report_lag) {
        draining_ = false;
        ramp_.on_signal(cold_signal::returned, now);
    }
    ramp_.on_reported_state(state_source::health, state == upstream_state::cold, now);
}

void owned_searcher::update_boot_id(std::string& last, const std::string& boot_id, time_point now) {
    if (boot_id.empty() || boot_id == last) {
        return;
    }
    if (!last.empty()) {
        ramp_.on_signal(cold_signal::boot_changed, now);
    }
    last = boot_id;
}

std::vector<snapshot_id> owned_searcher::held(shard_id shard) const {
    const auto at = std::lower_bound(held_shards_.begin(), held_shards_.end(), shard,
                                     [](const auto& it, shard_id value) { return it.shard < value; });
    return at == held_shards_.end() || at->shard != shard ? std::vector<snapshot_id>{} : at->snapshots;
}

void owned_searcher::on_not_held(shard_id shard, snapshot_id snapshot) {
    const auto at = std::lower_bound(held_shards_.begin(), held_shards_.end(), shard,
                                     [](const auto& it, shard_id value) { return it.shard < value; });
    if (at == held_shards_.end() || at->shard != shard) {
        return;
    }
    if (snapshot == 0) {
        at->snapshots.clear();
    } else {
        std::erase(at->snapshots, snapshot);
    }
}

searcher_status owned_searcher::status() const {
    return {name_, takes_work() && !breaker_.open(), ramp_.limit(), in_flight_, queue.queued(), held_shards_};
}

owned_searcher_view owned_searcher::view() const {
    owned_searcher_view out;
    out.searcher = name_;
    out.group = group_;
    out.takes_work = takes_work();
    out.cold = ramp_.cold();
    out.slots_now = ramp_.limit();
    out.slots_full = ramp_.full();
    out.in_flight = in_flight_;
    out.queued = queue.queued();
    out.boot_id = answer_boot_id_.empty() ? health_boot_id_ : answer_boot_id_;
    out.last_reason = ramp_.last_reason();
    return out;
}

} // namespace skylarkseam
