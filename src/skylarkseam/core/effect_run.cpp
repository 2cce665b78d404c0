#include <skylarkseam/core/effect_run.hpp>
#include <skylarkseam/core/rendezvous.hpp>
#include <skylarkseam/core/top_hits.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Upper bound of the time reserved for the return hop and the answer.
constexpr duration max_reserve = milliseconds(5);
constexpr int reserve_divisor = 5; ///< Limits the reserve to a fifth of the deadline.
constexpr duration status_wait = milliseconds(50);

} // namespace

effect_run::effect_run(query_id id, query_request request, const service& settings,
                       std::shared_ptr<group_state> group, time_point arrived)
    : id_(id)
    , request_(std::move(request))
    , group_(std::move(group))
    , caller_hash_(name_hash(request_.caller))
    , cls_(request_.cls.value_or(settings.cls)) {
    const auto total = std::min(request_.deadline.value_or(settings.deadline), settings.deadline);
    hop_reserve_ = std::min(max_reserve, total / reserve_divisor) / 2;
    answer_at_ = arrived + total - hop_reserve_;
}

void effect_run::start(run_context& context) {
    if (pick_shard() == nullptr || !group_->any_owner()) {
        fail(context, make_error(error_kind::no_owner, "no node owns a searcher of " + group_->name()));
        return;
    }
    on_status_update(context);
}

/// Selects the shard by rendezvous hashing, so that all nodes select the same shard for a key.
const mapped_shard* effect_run::pick_shard() const {
    const auto& shards = group_->map().shards;
    const auto best = std::max_element(shards.begin(), shards.end(), [&](const auto& a, const auto& b) {
        return rendezvous_weight(request_.idempotency_key, a.shard) <
               rendezvous_weight(request_.idempotency_key, b.shard);
    });
    return best == shards.end() ? nullptr : &*best;
}

void effect_run::on_status_update(run_context& context) {
    if (sent_ || done_ || try_send(context)) {
        return;
    }
    for (const auto owner : group_->owners_to_poll(false)) {
        context.shared.request_status(owner, group_->name(), context.now, context.out);
    }
    next_check_ = std::min(answer_at_, context.now + status_wait);
}

bool effect_run::try_send(run_context& context) {
    const auto* shard = pick_shard();
    auto& shared = context.shared;
    const auto snapshot = group_->choose_snapshot(context.now).snapshot;
    const auto copy =
        shared.replicas.pick(*group_, shared.owners, *shard, snapshot, {}, caller_hash_, context.now);
    if (snapshot == 0 || !copy) {
        return false;
    }
    sent_ = true;
    snapshot_ = snapshot;
    copy_ = *copy;
    shard_ = shard->shard;
    owner_ = group_->replica(copy_.searcher).owner;
    next_check_ = answer_at_;
    group_->replica(copy_.searcher).stats.on_sent(caller_hash_);
    ++shared.counters.first_attempts;
    subquery_batch batch;
    batch.query = id_;
    batch.coordinator = shared.self;
    batch.caller = request_.caller;
    batch.group = group_->name();
    batch.cls = cls_;
    batch.snapshot = snapshot_;
    batch.remaining = std::max(duration::zero(), answer_at_ - context.now - hop_reserve_);
    batch.query_json = request_.query_json;
    batch.limit = request_.limit;
    batch.idempotency_key = request_.idempotency_key;
    batch.subqueries.push_back({shard_, 0, group_->map().searchers[copy_.searcher].name, false});
    context.out.emplace_back(coordinator_action::send_batch{shared.owners.name(owner_), std::move(batch)});
    return true;
}

void effect_run::on_reply(std::uint32_t owner, subquery_reply& reply, run_context& context) {
    if (!sent_ || owner != owner_ || reply.attempt != 0 || reply.shard != shard_) {
        ++context.shared.counters.replies_dropped;
        return;
    }
    auto& stats = group_->replica(copy_.searcher).stats;
    stats.on_ended(caller_hash_);
    group_->update_held(copy_, reply.held);
    const auto refuse = [&](error_kind kind, run_state ran) { fail(context, {kind, reply.detail, ran}); };
    switch (reply.outcome) {
    case subquery_outcome::answered:
        succeed(reply, std::move(reply.hits), context);
        break;
    case subquery_outcome::not_run_refused:
    case subquery_outcome::not_run_shed:
        refuse(error_kind::overloaded, run_state::no);
        break;
    case subquery_outcome::snapshot_not_held:
        group_->remove_held(copy_, snapshot_);
        refuse(error_kind::snapshot_unavailable, run_state::no);
        break;
    case subquery_outcome::shard_not_held:
        group_->remove_held(copy_, 0);
        refuse(error_kind::snapshot_unavailable, run_state::no);
        break;
    case subquery_outcome::cancelled:
    case subquery_outcome::failed:
    case subquery_outcome::timed_out:
        if (reply.dispatch_sequence == 0) {
            refuse(error_kind::overloaded, run_state::no);
        } else {
            refuse(error_kind::outcome_unknown, run_state::unknown);
        }
        break;
    }
}

void effect_run::succeed(const subquery_reply& reply, std::vector<hit> hits, run_context& context) {
    if (reply.snapshot != snapshot_ || !well_formed(hits)) {
        ++context.shared.counters.replies_dropped;
        fail(context,
             make_error(error_kind::outcome_unknown, "the searcher's answer does not fit the request"));
        return;
    }
    query_answer value;
    value.snapshot = snapshot_;
    value.covered = {1, 1, {}};
    top_hits ranked(request_.limit);
    ranked.merge(std::move(hits));
    value.hits = ranked.take();
    value.dispatches.push_back({context.shared.owners.name(owner_), reply.dispatch_sequence, shard_});
    value.first_attempts = 1;
    ++context.shared.counters.answered_whole;
    done_ = true;
    context.out.emplace_back(coordinator_action::answer_query{id_, std::move(value)});
}

void effect_run::on_batch_failed(std::uint32_t owner, const coordinator_event::batch_failed& event,
                                 run_context& context) {
    if (!sent_ || owner != owner_) {
        return;
    }
    group_->replica(copy_.searcher).stats.on_ended(caller_hash_);
    if (event.sent) {
        fail(context, make_error(error_kind::outcome_unknown, "the owner was lost under the request"));
    } else {
        fail(context, make_error(error_kind::no_owner, "the owner could not be reached"));
    }
}

void effect_run::on_time(run_context& context) {
    if (done_) {
        return;
    }
    if (context.now < answer_at_) {
        on_status_update(context);
        return;
    }
    if (sent_) {
        group_->replica(copy_.searcher).stats.on_ended(caller_hash_);
        fail(context, make_error(error_kind::outcome_unknown, "no answer by the deadline"));
        return;
    }
    fail(context, make_error(error_kind::snapshot_unavailable, "no replica for the request is known"));
}

void effect_run::fail(run_context& context, error value) {
    ++context.shared.counters.refused;
    done_ = true;
    context.out.emplace_back(coordinator_action::answer_query{id_, refused(std::move(value))});
}

} // namespace skylarkseam
