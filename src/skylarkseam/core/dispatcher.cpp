#include <skylarkseam/core/dispatcher.hpp>
#include <skylarkseam/core/request_id.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Upper bound of the delay with which a searcher observes the deadline of its request.
constexpr duration slot_release_grace = milliseconds(20);
constexpr std::size_t max_remembered_effects = 65536;

std::string upstream_request_id(const open_subquery& it) {
    const auto& batch = it.header->batch;
    return request_id_of(batch.coordinator, batch.query, it.attempt);
}

bool is_effect(const batch_header& header) {
    return !header.batch.idempotency_key.empty();
}

} // namespace

void dispatcher::on_batch(stream_id stream, subquery_batch batch, const find_searcher& find, time_point now,
                          output& out) {
    const auto subqueries = std::move(batch.subqueries);
    if (subqueries.empty()) {
        return;
    }
    auto header = std::make_shared<batch_header>();
    header->stream = stream;
    header->deadline = now + batch.remaining;
    header->batch = std::move(batch);
    header->unreplied = static_cast<std::uint32_t>(subqueries.size());
    header->malformed_effect = is_effect(*header) && subqueries.size() != 1;
    auto& state = streams_[stream];
    state.header = header;
    state.subqueries.reserve(subqueries.size());
    for (const auto& it : subqueries) {
        admit(header, it, find(it.searcher), now, out);
    }
    const auto open = streams_.find(stream);
    if (open == streams_.end()) {
        return;
    }
    const auto admitted = open->second.subqueries;
    for (const auto id : admitted) {
        if (const auto n = table_.find(id); n != subquery_table::none) {
            dispatch_queued(*table_.at(n).searcher, now, out);
        }
    }
    for (const auto id : admitted) {
        schedule_queue_timeout(id);
    }
}

void dispatcher::admit(const std::shared_ptr<batch_header>& header, const subquery& it,
                       owned_searcher* searcher, time_point now, output& out) {
    auto reason = refusal_reason(searcher, *header, now);
    if (reason.empty() && is_effect(*header) && !remember_effect(*header, it.attempt)) {
        reason = "the effect was received before";
    }
    if (!reason.empty()) {
        ++counters_.refused;
        subquery_reply value;
        value.query = header->batch.query;
        value.attempt = it.attempt;
        value.shard = it.shard;
        value.outcome = subquery_outcome::not_run_refused;
        value.detail = reason;
        send(*header, std::move(value), out);
        return;
    }
    const auto n = table_.add();
    auto& entry = table_.at(n);
    entry.phase = subquery_phase::queued;
    entry.header = header;
    entry.shard = it.shard;
    entry.attempt = it.attempt;
    entry.searcher = searcher;
    entry.queued_at = now;
    streams_[header->stream].subqueries.push_back(table_.id_of(n));
    searcher->queue.push(header->batch.caller, header->batch.cls, n);
}

/// Returns why a new subquery is refused on arrival; empty if it can be queued.
std::string_view dispatcher::refusal_reason(const owned_searcher* searcher, const batch_header& header,
                                            time_point now) const {
    if (header.malformed_effect) {
        return "an effect has exactly one subquery";
    }
    if (searcher == nullptr) {
        return "not owned by this node";
    }
    if (const auto reason = searcher->refusal_reason(authority_, now); !reason.empty()) {
        return reason;
    }
    const auto& batch = header.batch;
    if (searcher->queue.queued_of(batch.caller) >= queue_length_) {
        return "the caller's queue is full";
    }
    const auto wait = searcher->queue.expected_wait(batch.caller, batch.cls, searcher->slots_now());
    return can_meet_deadline(*searcher, header, now + wait) ? std::string_view{} : "would miss its deadline";
}

bool dispatcher::can_meet_deadline(const owned_searcher& it, const batch_header& header, time_point now) {
    // An idle searcher gets a request even if its cost estimate is high, because only new samples can lower
    // the estimate.
    const auto cost = it.in_flight() == 0 ? duration::zero() : it.queue.mean_cost();
    return now < header.deadline && now + cost <= header.deadline;
}

bool dispatcher::remember_effect(const batch_header& header, std::uint32_t attempt) {
    auto id = request_id_of(header.batch.coordinator, header.batch.query, attempt);
    if (!recent_effect_ids_.insert(id).second) {
        return false;
    }
    effect_ids_by_age_.push_back(std::move(id));
    if (effect_ids_by_age_.size() > max_remembered_effects) {
        recent_effect_ids_.erase(effect_ids_by_age_.front());
        effect_ids_by_age_.pop_front();
    }
    return true;
}

/// Schedules the refusal of a queued subquery at the time after which it can no longer meet its deadline.
void dispatcher::schedule_queue_timeout(subquery_table::id id) {
    const auto n = table_.find(id);
    if (n == subquery_table::none || table_.at(n).phase != subquery_phase::queued) {
        return;
    }
    const auto& it = table_.at(n);
    const auto latest_start = it.header->deadline - it.searcher->queue.mean_cost();
    timers_.add(std::max(latest_start, it.queued_at), {timer::kind::queue_timeout, it.searcher, id});
}

void dispatcher::on_cancel(stream_id stream, const subquery_cancel& cancel, time_point now, output& out) {
    const auto at = streams_.find(stream);
    if (at == streams_.end()) {
        return;
    }
    const auto open = at->second.subqueries;
    const auto& wanted = cancel.attempts;
    for (const auto id : open) {
        const auto n = table_.find(id);
        if (n == subquery_table::none || table_.at(n).replied) {
            continue;
        }
        const auto attempt = table_.at(n).attempt;
        if (wanted.empty() || std::find(wanted.begin(), wanted.end(), attempt) != wanted.end()) {
            cancel_subquery(n, now, out);
        }
    }
}

void dispatcher::on_closed(stream_id stream, time_point now, output& out) {
    const auto at = streams_.find(stream);
    if (at == streams_.end()) {
        return;
    }
    at->second.header->closed = true;
    on_cancel(stream, {}, now, out);
    streams_.erase(stream);
}

/// Cancels a subquery at its coordinator's request. A running effect is not interrupted.
void dispatcher::cancel_subquery(std::uint32_t n, time_point now, output& out) {
    auto& it = table_.at(n);
    if (it.phase == subquery_phase::queued) {
        const auto& batch = it.header->batch;
        it.searcher->queue.erase(batch.caller, batch.cls, n);
        reply_without_result(n, subquery_outcome::cancelled, "cancelled before dispatch", now, out);
        table_.release(n);
        return;
    }
    if (is_effect(*it.header)) {
        return;
    }
    out.emplace_back(
        owner_action::cancel_dispatch{table_.id_of(n), it.searcher->address(), upstream_request_id(it)});
    reply_without_result(n, subquery_outcome::cancelled, "cancelled after dispatch", now, out);
}

void dispatcher::dispatch_queued(owned_searcher& it, time_point now, output& out) {
    if (it.queue.queued() == 0) {
        return;
    }
    while (it.can_dispatch(authority_, now)) {
        const auto next = it.queue.pop(it.free_slots(), it.slots_now());
        if (!next) {
            return;
        }
        if (can_meet_deadline(it, *table_.at(next->index).header, now)) {
            dispatch(it, *next, now, out);
        } else {
            it.queue.on_finished(next->caller, next->charged, duration::zero());
            refuse_past_deadline(next->index, now, out);
        }
    }
    refuse_queue(it, it.refusal_reason(authority_, now), now, out);
}

void dispatcher::refuse_past_deadline(std::uint32_t n, time_point now, output& out) {
    ++counters_.refused;
    reply_without_result(n, subquery_outcome::not_run_refused, "would miss its deadline", now, out);
    table_.release(n);
}

void dispatcher::dispatch(owned_searcher& it, const fair_queue::dequeued& next, time_point now, output& out) {
    auto& entry = table_.at(next.index);
    const auto& batch = entry.header->batch;
    entry.phase = subquery_phase::running;
    entry.caller = next.caller;
    entry.charged = next.charged;
    entry.dispatched_at = now;
    entry.sequence = ++last_sequence_;
    ++counters_.dispatched;
    it.on_dispatch(now);
    const auto id = table_.id_of(next.index);
    timers_.add(entry.header->deadline, {timer::kind::deadline, &it, id});
    owner_action::dispatch action;
    action.id = id;
    action.searcher = it.name();
    action.address = it.address();
    action.request_id = upstream_request_id(entry);
    action.shard = entry.shard;
    action.snapshot = batch.snapshot;
    action.deadline = entry.header->deadline;
    action.query_json = batch.query_json;
    action.limit = batch.limit;
    action.idempotency_key = batch.idempotency_key;
    out.emplace_back(std::move(action));
}

void dispatcher::refuse_queue(owned_searcher& it, std::string_view reason, time_point now, output& out) {
    for (const auto n : it.queue.drain()) {
        ++counters_.refused;
        reply_without_result(n, subquery_outcome::not_run_refused, reason, now, out);
        table_.release(n);
    }
}

void dispatcher::on_answer(dispatch_id id, upstream_answer& answer, time_point now, output& out) {
    const auto n = table_.find(id);
    if (n == subquery_table::none || table_.at(n).phase != subquery_phase::running) {
        ++counters_.late_answers;
        return;
    }
    auto& entry = table_.at(n);
    auto& searcher = *entry.searcher;
    check_request_match(entry, answer);
    searcher.on_answer(answer, entry.dispatched_at, now);
    if (answer.outcome == subquery_outcome::snapshot_not_held) {
        searcher.on_not_held(entry.shard, entry.header->batch.snapshot);
    } else if (answer.outcome == subquery_outcome::shard_not_held) {
        searcher.on_not_held(entry.shard, 0);
    }
    const bool may_still_run =
        answer.outcome == subquery_outcome::failed && answer.bytes_sent && !answer.completed;
    if (!entry.replied) {
        reply_answer(n, answer, now, out);
    }
    // The searcher may still run the request, so the timer after the deadline releases the slot.
    if (!may_still_run) {
        free_slot(n, now, out);
    }
    dispatch_queued(searcher, now, out);
}

/// Turns an answer into a failure if its echoed request id or shard does not match the dispatched request.
void dispatcher::check_request_match(const open_subquery& entry, upstream_answer& answer) {
    if (answer.outcome != subquery_outcome::answered ||
        (answer.request_id == upstream_request_id(entry) && answer.shard == entry.shard)) {
        return;
    }
    ++counters_.mismatched_answers;
    answer.outcome = subquery_outcome::failed;
    answer.detail = "the answer belongs to another request";
    answer.completed = false;
}

void dispatcher::reply_answer(std::uint32_t n, upstream_answer& answer, time_point now, output& out) {
    subquery_reply value;
    value.outcome = answer.outcome;
    if (answer.outcome == subquery_outcome::failed && !answer.bytes_sent) {
        value.outcome = subquery_outcome::not_run_refused;
    }
    value.snapshot = answer.snapshot;
    value.detail = std::move(answer.detail);
    if (value.outcome == subquery_outcome::answered) {
        value.hits = std::move(answer.hits);
    }
    reply(n, std::move(value), now, out);
}

void dispatcher::free_slot(std::uint32_t n, time_point now, output& out) {
    auto& entry = table_.at(n);
    auto& searcher = *entry.searcher;
    searcher.queue.on_finished(entry.caller, entry.charged, now - entry.dispatched_at);
    searcher.release_slot();
    table_.release(n);
    dispatch_queued(searcher, now, out);
}

void dispatcher::on_time(time_point now, output& out) {
    while (auto it = timers_.pop_due(now)) {
        on_timer(*it, now, out);
    }
}

void dispatcher::on_timer(const timer& it, time_point now, output& out) {
    const auto n = table_.find(it.id);
    if (n == subquery_table::none) {
        return;
    }
    auto& entry = table_.at(n);
    const bool queued = entry.phase == subquery_phase::queued;
    switch (it.what) {
    case timer::kind::queue_timeout:
        if (queued) {
            const auto& batch = entry.header->batch;
            it.searcher->queue.erase(batch.caller, batch.cls, n);
            refuse_past_deadline(n, now, out);
        }
        break;
    case timer::kind::deadline:
        if (!entry.replied) {
            reply_without_result(n, subquery_outcome::timed_out, "no answer by the deadline", now, out);
        }
        timers_.add(now + slot_release_grace, {timer::kind::release_slot, it.searcher, it.id});
        break;
    case timer::kind::release_slot:
        free_slot(n, now, out);
        break;
    }
}

void dispatcher::reply_without_result(std::uint32_t n, subquery_outcome outcome, std::string_view detail,
                                      time_point now, output& out) {
    subquery_reply value;
    value.outcome = outcome;
    value.detail = detail;
    reply(n, std::move(value), now, out);
}

void dispatcher::reply(std::uint32_t n, subquery_reply value, time_point now, output& out) {
    auto& entry = table_.at(n);
    const bool ran = entry.phase == subquery_phase::running;
    value.query = entry.header->batch.query;
    value.attempt = entry.attempt;
    value.shard = entry.shard;
    value.dispatch_sequence = entry.sequence;
    value.queued = (ran ? entry.dispatched_at : now) - entry.queued_at;
    value.service = ran ? now - entry.dispatched_at : duration::zero();
    value.held = entry.searcher->held(entry.shard);
    entry.replied = true;
    send(*entry.header, std::move(value), out);
}

void dispatcher::send(batch_header& header, subquery_reply value, output& out) {
    const bool last = --header.unreplied == 0;
    if (!header.closed) {
        out.emplace_back(owner_action::send_reply{header.stream, std::move(value), last});
    }
    if (last) {
        streams_.erase(header.stream);
    }
}

} // namespace skylarkseam
