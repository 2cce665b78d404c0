#include <skylarkseam/core/query_run.hpp>
#include <skylarkseam/core/rendezvous.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr duration longest_answer_reserve = milliseconds(2); ///< for writing the answer
constexpr duration longest_hop_reserve = milliseconds(3);    ///< for an owner's reply to arrive
constexpr int smallest_part = 10; ///< a reserve takes at most a tenth of the deadline
constexpr duration status_wait = milliseconds(50);
constexpr std::uint32_t most_replans = 2;

} // namespace

query_run::query_run(query_id id, query_request request, const service& settings,
                     std::shared_ptr<group_state> group, time_point arrived)
    : id_(id)
    , request_(std::move(request))
    , group_(std::move(group))
    , minimum_coverage_(settings.minimum_coverage)
    , budget_percent_(settings.hedge_budget_percent)
    , cls_(request_.cls.value_or(settings.cls))
    , caller_key_(name_hash(request_.caller))
    , hits_(request_.limit) {
    const auto total = std::min(request_.deadline.value_or(settings.deadline), settings.deadline);
    answer_at_ = arrived + total - std::min(longest_answer_reserve, total / smallest_part);
    hop_reserve_ = std::min(longest_hop_reserve, total / smallest_part);
}

void query_run::start(run_context& context) {
    if (!group_->any_owner()) {
        answer(context,
               refused(make_error(error_kind::no_owner, "no node owns a searcher of " + group_->name())));
        return;
    }
    lost_until_ = context.now + status_wait;
    const bool known = group_->every_shard_known() || group_->asked_long_ago(context.now);
    if (known && group_->choose_snapshot(context.now).snapshot != 0) {
        plan(context);
    } else {
        wait_for_knowledge(context);
    }
    if (group_->refresh_due(context.now)) {
        ask_owners(context);
    }
}

void query_run::ask_owners(run_context& context) {
    for (const auto owner : group_->owners_to_ask(false)) {
        context.services.request_status(owner, group_->name(), context.now, context.out);
    }
}

void query_run::wait_for_knowledge(run_context& context) {
    for (const auto owner : group_->owners_to_ask(true)) {
        context.services.request_status(owner, group_->name(), context.now, context.out);
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
    given_up_ = 0;
    lost_ = 0;
    hits_ = top_hits(request_.limit);
    dispatches_.clear();
    for (std::uint32_t n = 0; n < count; ++n) {
        if (!send(n, attempt_kind::first, context)) {
            mark_unanswerable(n, context);
        }
    }
    settle(context);
}

/// No replica is left that is known to hold the snapshot: asks the owners again and waits a little for it.
void query_run::mark_unanswerable(std::uint32_t shard, run_context& context) {
    auto& progress = shards_[shard];
    const auto& copies = group_->map().shards[shard].copies;
    const bool held =
        std::any_of(copies.begin(), copies.end(), [&](auto copy) { return group_->holds(copy, snapshot_); });
    if (held) {
        progress.phase = shard_phase::given_up;
        ++given_up_;
        return;
    }
    progress.phase = shard_phase::lost;
    if (++lost_ == 1) {
        lost_until_ = context.now + status_wait;
    }
    for (const auto copy : copies) {
        if (group_->present(copy.searcher)) {
            context.services.request_status(group_->replica(copy.searcher).owner, group_->name(), context.now,
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
            --maybe_run_;
            if (it.extra) {
                group_->load().budget.refund();
            }
        }
        on_failed_attempt(it, event.sent ? retry_price::paid : retry_price::free, context);
    }
    settle(context);
}

void query_run::on_knowledge(run_context& context) {
    if (phase_ == phase::waiting) {
        if (group_->every_shard_known() && group_->choose_snapshot(context.now).snapshot != 0) {
            plan(context);
        }
        return;
    }
    if (phase_ == phase::running && lost_ > 0) {
        retry_lost(context);
        settle(context);
    }
}

void query_run::retry_lost(run_context& context) {
    for (std::uint32_t n = 0; n < shards_.size() && lost_ > 0; ++n) {
        if (shards_[n].phase == shard_phase::lost && send(n, attempt_kind::replacement, context)) {
            shards_[n].phase = shard_phase::open;
            --lost_;
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
        if (context.now >= lost_until_ && group_->choose_snapshot(context.now).snapshot != 0) {
            plan(context);
        } else {
            wait_for_knowledge(context);
        }
        return;
    }
    hedge_due(context);
    settle(context);
}

void query_run::hedge_due(run_context& context) {
    const auto delay = current_hedge_delay(context.now);
    for (std::uint32_t n = 0; n < shards_.size(); ++n) {
        auto& progress = shards_[n];
        if (progress.phase != shard_phase::open || context.now < progress.hedge_at) {
            continue;
        }
        const bool in_time = context.now + group_->load().usual() < answer_at_;
        const bool first_open = progress.open_attempts > 0;
        if (in_time && send(n, attempt_kind::extra, context)) {
            auto& counters = context.services.counters;
            ++(first_open ? counters.hedges : counters.retries);
        } else {
            progress.hedge_at = context.now + delay;
        }
    }
}

void query_run::cancel_losers(std::uint32_t shard, run_context& context) {
    for (auto n = shards_[shard].last_attempt; n != none; n = attempts_[n].previous) {
        auto& it = attempts_[n];
        if (it.open) {
            close(it, context, true);
            context.out.emplace_back(
                coordinator_action::send_cancel{context.services.owners.name(it.owner), {id_, {n}}});
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
            coordinator_action::send_cancel{context.services.owners.name(owner), {id_, std::move(attempts)}});
    }
}

/// Asks again for all shards, on a newer snapshot or under a newer shard map, if that covers more in time.
bool query_run::replan(run_context& context) {
    const auto& groups = context.services.groups;
    const auto current = groups.find(group_->name());
    if (current == groups.end() || replans_ >= most_replans ||
        context.now + group_->load().latency.high_latency() >= answer_at_) {
        return false;
    }
    const bool other_map = &current->second->map() != &group_->map();
    const auto choice = current->second->choose_snapshot(context.now);
    const auto total = static_cast<double>(shards_.size());
    const auto now_reachable = (total - lost_ - given_up_) / total;
    const auto then_reachable =
        static_cast<double>(choice.covered) / static_cast<double>(current->second->map().shards.size());
    if ((choice.snapshot <= snapshot_ && !other_map) || then_reachable <= now_reachable) {
        return false;
    }
    cancel_all(context);
    group_ = current->second;
    ++replans_;
    ++context.services.counters.replans;
    plan(context);
    return true;
}

/// Decides after each event whether the query has come to its end.
void query_run::settle(run_context& context) {
    if (phase_ != phase::running) {
        return;
    }
    if (lost_ > 0 && replan(context)) {
        return;
    }
    const auto total = static_cast<std::uint32_t>(shards_.size());
    const bool waits_for_lost = lost_ > 0 && context.now < lost_until_;
    const auto out_of_reach = given_up_ + (waits_for_lost ? 0 : lost_);
    const auto reachable = static_cast<double>(total - out_of_reach) / static_cast<double>(total);
    if (merged_ + out_of_reach == total || reachable < minimum_coverage_) {
        finish(context, false);
        return;
    }
    schedule(context.now);
}

void query_run::schedule(time_point now) {
    next_check_ = answer_at_;
    if (lost_ > 0 && now < lost_until_) {
        next_check_ = std::min(next_check_, lost_until_);
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

void query_run::on_caller_left(run_context& context) {
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
    if (maybe_run_ == 0) {
        const auto kind = lost_ > 0 ? error_kind::snapshot_unavailable : error_kind::overloaded;
        return make_error(kind, "every attempt was refused before it ran");
    }
    const auto kind = at_deadline ? error_kind::deadline_exceeded : error_kind::upstream_failed;
    return make_error(kind, "no shard answered");
}

void query_run::answer(run_context& context, result<query_answer> value) {
    auto& counters = context.services.counters;
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
