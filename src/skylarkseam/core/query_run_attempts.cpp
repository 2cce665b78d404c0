// The attempts of a query: which replica each goes to, what its reply does to its shard, and when another
// follows.
#include <skylarkseam/core/query_run.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::uint8_t most_attempts_per_shard = 4;
constexpr duration refused_interval = milliseconds(200); ///< between questions to an owner that refuses
constexpr duration shed_pause = milliseconds(50);  ///< a replica that shed work is not preferred for so long
constexpr duration lost_pause = milliseconds(200); ///< nor one that failed

} // namespace

bool query_run::send(std::uint32_t shard, attempt_kind kind, run_context& context) {
    auto& progress = shards_[shard];
    if (progress.attempts >= most_attempts_per_shard) {
        return false;
    }
    tried_.clear();
    for (auto n = progress.last_attempt; n != none; n = attempts_[n].previous) {
        tried_.push_back(attempts_[n].copy.searcher);
    }
    auto& services = context.services;
    const auto& mapped = group_->map().shards[shard];
    const auto copy =
        services.replicas.pick(*group_, services.owners, mapped, snapshot_, tried_, caller_key_, context.now);
    if (!copy) {
        return false;
    }
    const bool extra = kind == attempt_kind::extra;
    if (extra && !group_->load().budget.try_spend()) {
        return false;
    }
    auto& replica = group_->replica(copy->searcher);
    const auto number = static_cast<std::uint32_t>(attempts_.size());
    attempts_.push_back({shard, *copy, replica.owner, progress.last_attempt, context.now, true, extra});
    progress.last_attempt = number;
    ++progress.attempts;
    ++progress.open_attempts;
    progress.hedge_at = context.now + current_hedge_delay(context.now);
    replica.stats.on_sent(caller_key_);
    ++maybe_run_;
    auto& batch = services.batches.batch_for(replica.owner, services.owners.name(replica.owner),
                                             [&](subquery_batch& it) { fill_header(it, context); });
    batch.subqueries.push_back({mapped.shard, number, group_->map().searchers[copy->searcher].name, extra});
    if (extra) {
        ++extra_attempts_;
    } else if (kind == attempt_kind::first) {
        ++first_attempts_;
        ++services.counters.first_attempts;
        group_->load().budget.on_first_attempt(budget_percent_);
    }
    return true;
}

void query_run::fill_header(subquery_batch& batch, const run_context& context) const {
    batch.query = id_;
    batch.coordinator = context.services.self;
    batch.caller = request_.caller;
    batch.group = group_->name();
    batch.cls = cls_;
    batch.snapshot = snapshot_;
    batch.remaining = std::max(duration::zero(), answer_at_ - context.now - hop_reserve_);
    batch.query_json = request_.query_json;
    batch.limit = request_.limit;
}

duration query_run::current_hedge_delay(time_point now) const {
    constexpr int fallback_part = 4;
    return group_->load().latency.delay(budget_percent_, (answer_at_ - now) / fallback_part);
}

void query_run::on_reply(std::uint32_t owner, subquery_reply& reply, run_context& context) {
    auto* it = match(owner, reply);
    if (it == nullptr) {
        context.services.counters.replies_dropped += reply.outcome == subquery_outcome::cancelled ? 0 : 1;
        return;
    }
    group_->learn_held(it->copy, reply.held);
    switch (reply.outcome) {
    case subquery_outcome::answered:
        if (reply.snapshot == snapshot_ && well_formed(reply.hits)) {
            merge(*it, reply, context);
        } else {
            ++context.services.counters.replies_dropped;
            close(*it, context, false);
            on_failed_attempt(*it, retry_price::paid, context);
        }
        break;
    case subquery_outcome::not_run_refused:
        close(*it, context, false);
        --maybe_run_;
        // It may have refused this caller only; whether it takes work at all is for its owner to say.
        context.services.request_status(owner, group_->name(), context.now, context.out, refused_interval);
        if (it->extra) {
            group_->load().budget.refund();
        }
        on_failed_attempt(*it, retry_price::free, context);
        break;
    case subquery_outcome::snapshot_not_held:
    case subquery_outcome::shard_not_held:
        close(*it, context, false);
        --maybe_run_;
        group_->forget_held(it->copy, reply.outcome == subquery_outcome::shard_not_held ? 0 : snapshot_);
        on_failed_attempt(*it, retry_price::free, context);
        break;
    case subquery_outcome::not_run_shed:
        close(*it, context, false);
        --maybe_run_;
        group_->avoid(it->copy.searcher, context.now + shed_pause);
        on_failed_attempt(*it, retry_price::paid, context);
        break;
    case subquery_outcome::failed:
    case subquery_outcome::timed_out:
    case subquery_outcome::cancelled:
        close(*it, context, false);
        if (speaks_against_searcher(reply)) {
            group_->replica(it->copy.searcher).stats.on_failure(context.now);
            group_->avoid(it->copy.searcher, context.now + lost_pause);
        }
        on_failed_attempt(*it, retry_price::paid, context);
        break;
    }
    settle(context);
}

/// A request that its queue held until just before its deadline says nothing of the searcher that ran it.
bool query_run::speaks_against_searcher(const subquery_reply& reply) const {
    return reply.outcome != subquery_outcome::timed_out ||
           reply.service >= group_->load().latency.high_latency();
}

query_run::attempt* query_run::match(std::uint32_t owner, const subquery_reply& reply) {
    if (phase_ != phase::running || reply.attempt < plan_start_ || reply.attempt >= attempts_.size()) {
        return nullptr;
    }
    auto& it = attempts_[reply.attempt];
    const bool matches = it.open && it.owner == owner && group_->map().shards[it.shard].shard == reply.shard;
    return matches ? &it : nullptr;
}

void query_run::merge(attempt& it, subquery_reply& reply, run_context& context) {
    const auto latency = context.now - it.sent_at;
    auto& stats = group_->replica(it.copy.searcher).stats;
    stats.on_latency(reply.service, context.now);
    stats.on_success();
    group_->load().latency.add(latency);
    close(it, context, false);
    shards_[it.shard].phase = shard_phase::merged;
    ++merged_;
    hits_.merge(std::move(reply.hits));
    dispatches_.push_back({context.services.owners.name(it.owner), reply.dispatch_sequence, reply.shard});
    cancel_losers(it.shard, context);
}

/// \param slow  it was given up because another attempt was faster: what it took so far is a lower bound
void query_run::close(attempt& it, run_context& context, bool slow) {
    it.open = false;
    --shards_[it.shard].open_attempts;
    auto& stats = group_->replica(it.copy.searcher).stats;
    stats.on_ended(caller_key_);
    if (slow) {
        const auto elapsed = context.now - it.sent_at;
        stats.on_latency(elapsed, context.now);
        group_->load().latency.add(elapsed);
    }
}

void query_run::on_failed_attempt(attempt& it, retry_price price, run_context& context) {
    const auto shard = it.shard; // `it` is invalid once another attempt was sent
    auto& progress = shards_[shard];
    if (progress.phase != shard_phase::open || progress.open_attempts > 0) {
        return;
    }
    const bool paid = price == retry_price::paid;
    if (send(shard, paid ? attempt_kind::extra : attempt_kind::replacement, context)) {
        context.services.counters.retries += 1;
        return;
    }
    const bool waits_for_budget = paid && budget_percent_ > 0.0 && group_->load().budget.tokens() < 1.0;
    if (waits_for_budget && progress.attempts < most_attempts_per_shard) {
        progress.hedge_at = context.now + current_hedge_delay(context.now);
        return;
    }
    mark_unanswerable(shard, context);
}

} // namespace skylarkseam
