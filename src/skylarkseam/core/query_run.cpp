#include <skylarkseam/core/query_run.hpp>
#include <skylarkseam/core/rendezvous.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Upper bound of the time reserved for writing the answer.
constexpr duration max_answer_reserve = milliseconds(2);
/// Upper bound of the time reserved for an owner's reply.
constexpr duration max_hop_reserve = milliseconds(3);
constexpr int reserve_divisor = 10; ///< Limits each reserve to a tenth of the deadline.
constexpr duration status_wait = milliseconds(50);
constexpr std::uint32_t max_replans = 2;

} // namespace

query_run::query_run(query_id id, query_request request, const service& settings,
                     std::shared_ptr<group_state> group, time_point arrived)
    : id_(id)
    , request_(std::move(request))
    , group_(std::move(group))
    , minimum_coverage_(settings.minimum_coverage)
    , budget_percent_(settings.hedge_budget_percent)
    , cls_(request_.cls.value_or(settings.cls))
    , caller_hash_(name_hash(request_.caller))
    , hits_(request_.limit) {
    const auto total = std::min(request_.deadline.value_or(settings.deadline), settings.deadline);
    answer_at_ = arrived + total - std::min(max_answer_reserve, total / reserve_divisor);
    hop_reserve_ = std::min(max_hop_reserve, total / reserve_divisor);
}

void query_run::start(run_context& context) {
    if (!group_->any_owner()) {
        answer(context,
               refused(make_error(error_kind::no_owner, "no node owns a searcher of " + group_->name())));
        return;
    }
    status_wait_until_ = context.now + status_wait;
    const bool known = group_->every_shard_has_status() || group_->first_status_wait_elapsed(context.now);
    if (known && group_->choose_snapshot(context.now).snapshot != 0) {
        plan(context);
    } else {
        wait_for_status(context);
    }
    if (group_->refresh_due(context.now)) {
        poll_owners(context);
    }
}

void query_run::poll_owners(run_context& context) {
    for (const auto owner : group_->owners_to_poll(false)) {
        context.shared.request_status(owner, group_->name(), context.now, context.out);
    }
}

void query_run::wait_for_status(run_context& context) {
    for (const auto owner : group_->owners_to_poll(true)) {
        context.shared.request_status(owner, group_->name(), context.now, context.out);
    }
    next_check_ = std::min(answer_at_, context.now + status_wait);
}

void query_run::plan(run_context& context) {
    phase_ = phase::running;
    snapshot_ = group_->choose_snapshot(context.now).snapshot;
    const auto count = group_->map().shards.size();
    shards_.assign(count, {});
    attempts_.reserve(attempts_.size() + count);
    plan_start_ = static_cast<std::uint32_t>(attempts_.size());
    merged_ = 0;
    failed_ = 0;
    without_holder_ = 0;
    hits_ = top_hits(request_.limit);
    dispatches_.clear();
    for (std::uint32_t n = 0; n < count; ++n) {
        if (!send(n, attempt_kind::first, context)) {
            mark_no_replica_left(n, context);
        }
    }
    finish_or_schedule(context);
}

/// Marks a shard without an untried replica. If no replica is known to hold the snapshot, requests the status
/// of the shard's replicas and waits briefly; otherwise the shard has failed.
void query_run::mark_no_replica_left(std::uint32_t shard, run_context& context) {
    auto& progress = shards_[shard];
    const auto& copies = group_->map().shards[shard].copies;
    const bool held =
        std::any_of(copies.begin(), copies.end(), [&](auto copy) { return group_->holds(copy, snapshot_); });
    if (held) {
        progress.phase = shard_phase::failed;
        ++failed_;
        return;
    }
    progress.phase = shard_phase::without_holder;
    if (++without_holder_ == 1) {
        status_wait_until_ = context.now + status_wait;
    }
    for (const auto copy : copies) {
        if (group_->eligible(copy.searcher)) {
            context.shared.request_status(group_->replica(copy.searcher).owner, group_->name(), context.now,
                                          context.out);
        }
    }
}

void query_run::on_batch_failed(std::uint32_t owner, const coordinator_event::batch_failed& event,
                                run_context& context) {
    for (const auto number : event.attempts) {
        if (phase_ != phase::running || number < plan_start_ || number >= attempts_.size()) {
            continue;
        }
        auto& it = attempts_[number];
        if (!it.open || it.owner != owner) {
            continue;
        }
        close(it, context, false);
        if (!event.sent) {
            --possibly_run_;
            if (it.extra) {
                group_->load().budget.refund();
            }
        }
        on_failed_attempt(it, event.sent ? retry_cost::charged : retry_cost::free, context);
    }
    finish_or_schedule(context);
}

void query_run::on_status_update(run_context& context) {
    if (phase_ == phase::waiting) {
        if (group_->every_shard_has_status() && group_->choose_snapshot(context.now).snapshot != 0) {
            plan(context);
        }
        return;
    }
    if (phase_ == phase::running && without_holder_ > 0) {
        retry_shards_without_holder(context);
        finish_or_schedule(context);
    }
}

void query_run::retry_shards_without_holder(run_context& context) {
    for (std::uint32_t n = 0; n < shards_.size() && without_holder_ > 0; ++n) {
        if (shards_[n].phase == shard_phase::without_holder && send(n, attempt_kind::replacement, context)) {
            shards_[n].phase = shard_phase::open;
            --without_holder_;
        }
    }
}

void query_run::on_time(run_context& context) {
    if (phase_ == phase::done) {
        return;
    }
    if (context.now >= answer_at_) {
        finish(context, true);
        return;
    }
    if (phase_ == phase::waiting) {
        if (context.now >= status_wait_until_ && group_->choose_snapshot(context.now).snapshot != 0) {
            plan(context);
        } else {
            wait_for_status(context);
        }
        return;
    }
    send_due_hedges(context);
    finish_or_schedule(context);
}

void query_run::send_due_hedges(run_context& context) {
    const auto delay = current_hedge_delay(context.now);
    for (std::uint32_t n = 0; n < shards_.size(); ++n) {
        auto& progress = shards_[n];
        if (progress.phase != shard_phase::open || context.now < progress.hedge_at) {
            continue;
        }
        const bool in_time = context.now + group_->load().median_latency() < answer_at_;
        const bool is_hedge = progress.open_attempts > 0;
        if (in_time && send(n, attempt_kind::extra, context)) {
            auto& counters = context.shared.counters;
            ++(is_hedge ? counters.hedges : counters.retries);
        } else {
            progress.hedge_at = context.now + delay;
        }
    }
}

void query_run::cancel_other_attempts(std::uint32_t shard, run_context& context) {
    for (auto n = shards_[shard].last_attempt; n != none; n = attempts_[n].previous) {
        auto& it = attempts_[n];
        if (it.open) {
            close(it, context, true);
            context.out.emplace_back(
                coordinator_action::send_cancel{context.shared.owners.name(it.owner), {id_, {n}}});
        }
    }
}

void query_run::cancel_all(run_context& context) {
    std::map<std::uint32_t, std::vector<std::uint32_t>> by_owner;
    for (auto n = plan_start_; n < attempts_.size(); ++n) {
        if (attempts_[n].open) {
            close(attempts_[n], context, true);
            by_owner[attempts_[n].owner].push_back(n);
        }
    }
    for (auto& [owner, attempts] : by_owner) {
        context.out.emplace_back(
            coordinator_action::send_cancel{context.shared.owners.name(owner), {id_, std::move(attempts)}});
    }
}

/// Restarts the query on all shards with a newer snapshot or shard map if this covers more shards and the
/// time left allows it.
bool query_run::replan(run_context& context) {
    const auto& groups = context.shared.groups;
    const auto current = groups.find(group_->name());
    if (current == groups.end() || replans_ >= max_replans ||
        context.now + group_->load().latency.high_latency() >= answer_at_) {
        return false;
    }
    const bool map_changed = &current->second->map() != &group_->map();
    const auto choice = current->second->choose_snapshot(context.now);
    const auto total = static_cast<double>(shards_.size());
    const auto reachable_now = (total - without_holder_ - failed_) / total;
    const auto reachable_after_replan =
        static_cast<double>(choice.covered) / static_cast<double>(current->second->map().shards.size());
    if ((choice.snapshot <= snapshot_ && !map_changed) || reachable_after_replan <= reachable_now) {
        return false;
    }
    cancel_all(context);
    group_ = current->second;
    ++replans_;
    ++context.shared.counters.replans;
    plan(context);
    return true;
}

/// Finishes the query if no further shard can be merged or the minimum coverage is out of reach; otherwise
/// schedules the next check.
void query_run::finish_or_schedule(run_context& context) {
    if (phase_ != phase::running) {
        return;
    }
    if (without_holder_ > 0 && replan(context)) {
        return;
    }
    const auto total = static_cast<std::uint32_t>(shards_.size());
    const bool waits_for_holder = without_holder_ > 0 && context.now < status_wait_until_;
    const auto unreachable = failed_ + (waits_for_holder ? 0 : without_holder_);
    const auto reachable = static_cast<double>(total - unreachable) / static_cast<double>(total);
    if (merged_ + unreachable == total || reachable < minimum_coverage_) {
        finish(context, false);
        return;
    }
    schedule(context.now);
}

void query_run::schedule(time_point now) {
    next_check_ = answer_at_;
    if (without_holder_ > 0 && now < status_wait_until_) {
        next_check_ = std::min(next_check_, status_wait_until_);
    }
    if (budget_percent_ <= 0.0) {
        return;
    }
    for (const auto& it : shards_) {
        if (it.phase == shard_phase::open) {
            next_check_ = std::min(next_check_, it.hedge_at);
        }
    }
}

void query_run::on_caller_disconnected(run_context& context) {
    cancel_all(context);
    phase_ = phase::done;
}

void query_run::finish(run_context& context, bool at_deadline) {
    cancel_all(context);
    coverage covered;
    covered.total = static_cast<std::uint32_t>(shards_.size());
    covered.searched = merged_;
    for (std::size_t n = 0; n < shards_.size(); ++n) {
        if (shards_[n].phase != shard_phase::merged) {
            covered.missing.push_back(group_->map().shards[n].shard);
        }
    }
    if (merged_ == 0 || covered.fraction() < minimum_coverage_) {
        answer(context, refused(failure(at_deadline)));
        return;
    }
    query_answer value;
    value.snapshot = snapshot_;
    value.covered = std::move(covered);
    value.hits = hits_.take();
    value.dispatches = std::move(dispatches_);
    value.first_attempts = first_attempts_;
    value.extra_attempts = extra_attempts_;
    answer(context, std::move(value));
}

error query_run::failure(bool at_deadline) const {
    if (merged_ > 0) {
        return make_error(error_kind::coverage_missed, "fewer shards answered than the service asks for");
    }
    if (phase_ == phase::waiting) {
        return make_error(error_kind::snapshot_unavailable, "no snapshot of the group is known");
    }
    if (possibly_run_ == 0) {
        const auto kind = without_holder_ > 0 ? error_kind::snapshot_unavailable : error_kind::overloaded;
        return make_error(kind, "every attempt was refused before it ran");
    }
    const auto kind = at_deadline ? error_kind::deadline_exceeded : error_kind::upstream_failed;
    return make_error(kind, "no shard answered");
}

void query_run::answer(run_context& context, result<query_answer> value) {
    auto& counters = context.shared.counters;
    if (!value) {
        ++counters.refused;
    } else if (value.value().covered.missing.empty()) {
        ++counters.answered_whole;
    } else {
        ++counters.answered_partial;
    }
    phase_ = phase::done;
    context.out.emplace_back(coordinator_action::answer_query{id_, std::move(value)});
}

} // namespace skylarkseam
