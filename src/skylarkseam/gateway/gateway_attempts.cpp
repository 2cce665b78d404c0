// The attempts of a gateway's requests: sending them, and processing their results.
#include <skylarkseam/gateway/gateway.hpp>
#include <skylarkseam/gateway/record_merge.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Multiple of the typical latency after which a hedged request is sent; about 2 in 100 requests take longer.
constexpr double hedge_delay_factor = 3.0;
/// The same while the retry budget is hardly used. A query over many shards nearly always meets a searcher
/// that pauses, and a hedged request to another region has to be sent early to be in time.
constexpr double early_hedge_delay_factor = 2.0;
/// Lower bound of the hedge delay; covers the processing time of a busy host itself.
constexpr duration min_hedge_delay = milliseconds(12);
constexpr double max_hedge_slowness = 1.3;
constexpr duration min_connect_timeout = milliseconds(80);
constexpr int connect_round_trips = 4; ///< Number of round trips that opening a connection may take.
/// Time after the loss of a request on a new connection in which further new connections are watched before
/// they are used.
constexpr duration over_limit_memory = seconds(5);
/// Time beyond a round trip in which a searcher resets a connection over its limit.
constexpr duration reset_margin = milliseconds(3);
constexpr duration min_probe_timeout = milliseconds(450); ///< Longer than the pauses of searchers.
constexpr duration min_silent_timeout = milliseconds(700);
/// Multiple of the typical latency used as a timeout if it is longer than the minimum.
constexpr int timeout_latency_factor = 6;
/// A searcher counts as overloaded if a request takes both half of the objective and twice as long as it
/// takes without a queue.
constexpr int overload_objective_divisor = 2;
constexpr int overload_latency_factor = 2;
/// A request is assumed to take 1/5 of its objective until its latency has been measured.
constexpr int initial_latency_objective_divisor = 5;
constexpr int status_ok = 200;
constexpr int status_redirect = 300;
constexpr int status_server_error = 500;

bool is_success(const searcher_response& it) {
    return it.status >= status_ok && it.status < status_redirect && !it.proof.empty() && !it.encoded;
}

/// Whether the response is the searcher's failure. A response that says it succeeded and cannot be used is
/// one, too: otherwise a searcher that answers so at once would seem to be the fastest. So is a status that
/// promises that the request has not run, in a response that does not state it.
bool is_failure(const searcher_response& it) {
    return it.status >= status_server_error || promises_not_run(it.status) ||
           (it.status < status_redirect && !is_success(it));
}

} // namespace

void gateway::send(const run_ptr& run, std::size_t part, const placement_choice& choice, time_point now,
                   output& out) {
    auto& it = run->parts[part];
    const auto id = ++last_attempt_id_;
    const auto& estimate = latency_estimate_of(*run->route);
    const auto typical_latency = estimate.median();
    const auto overload_latency = std::max(run->route->objective / overload_objective_divisor,
                                           overload_latency_factor * estimate.shortest());
    const auto round_trip = round_trips_.to(*choice.target);
    const bool suspected = is_suspected(*run, now);
    choice.target->on_sent(id, now, typical_latency, suspected);
    attempts_[id] = {run->token,       part, choice.target,   run->route->name, now, typical_latency,
                     overload_latency, {},   run->fingerprint};

    const double slowness = std::clamp(choice.target->slowness, 1.0, max_hedge_slowness);
    const double factor = budget_is_ample(it.service, now) ? early_hedge_delay_factor : hedge_delay_factor;
    const auto hedge_delay =
        duration(static_cast<std::int64_t>(static_cast<double>(typical_latency.count()) * slowness * factor));
    const auto hedge_at = now + round_trip + std::max(min_hedge_delay, hedge_delay);
    it.state = part_state::sent;
    it.probing = choice.probe && it.open.empty();
    it.tried.push_back(choice.target.get());
    it.open.push_back({id, choice.target, now, hedge_at, true, suspected});
    run_timers_.add(hedge_at, run->token);
    ++run->attempts;
    ++counters_.attempts;
    const auto time_left = std::max(duration(milliseconds(1)), run->deadline - now);
    const auto connect_timeout = std::max(min_connect_timeout, round_trip * connect_round_trips);
    const auto& lost_at = choice.target->new_connection_lost_at;
    const bool may_be_over_limit = lost_at && now - *lost_at < over_limit_memory;
    const auto settle_time = may_be_over_limit ? round_trip + reset_margin : duration::zero();
    out.emplace_back(gateway_action::send{id, run->token, choice.target->record.address,
                                          choice.target->record.id, time_left, connect_timeout, settle_time});
}

latency_estimate& gateway::latency_estimate_of(const gateway_route& route) {
    return latency_estimates_.try_emplace(route.name, route.objective / initial_latency_objective_divisor)
        .first->second;
}

void gateway::set_may_run(attempt_id id, bool sent) {
    const auto found = attempts_.find(id);
    const auto run = found == attempts_.end() ? runs_.end() : runs_.find(found->second.token);
    if (run == runs_.end()) {
        return;
    }
    for (auto& it : run->second->parts[found->second.part].open) {
        it.may_run = it.id == id ? sent : it.may_run;
    }
}

void gateway::on_attempt_ended(attempt_id id, attempt_result result, time_point now, output& out) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    auto ended = std::move(found->second);
    attempts_.erase(found);
    const bool accountable = ended.target->is_accountable(id);
    ended.target->on_ended(id);
    record_result(ended, result, now, out);
    if (result.connection_lost) {
        record_loss(ended, accountable, now, out);
    }
    const auto run = runs_.find(ended.token);
    if (ended.token != 0 && run != runs_.end()) {
        const auto active_run = run->second;
        if (result.connection_lost) {
            ++active_run->losses;
        }
        if (result.outcome == attempt_outcome::broken) {
            const auto& it = *ended.target;
            out.emplace_back(gateway_action::report_loss{active_run->id, active_run->fingerprint,
                                                         it.record.id, it.record.service, result.detail,
                                                         now - ended.sent, it.open.size()});
        }
        std::erase_if(active_run->parts[ended.part].open, [id](const auto& it) { return it.id == id; });
        apply_result(active_run, ended.part, result, now, out);
        finish_if_ready(active_run, now, out);
    }
    dispatch_waiting(ended.target->record.service, now, out);
}

void gateway::record_result(attempt& ended, const attempt_result& result, time_point now, output& out) {
    auto& it = *ended.target;
    const auto before = it.fault;
    record_announcements(it, result, now);
    if (result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::refused) {
        suspects_.note_alive(it, ended.sent);
        reach_.note_answer(now);
    }
    if (result.connect_time) {
        round_trips_.add(it.record.zone, *result.connect_time);
        reach_.note_connected();
    }
    switch (result.outcome) {
    case attempt_outcome::answered: {
        if (is_failure(result.response)) {
            it.on_failure(searcher_fault::failing, now);
            break;
        }
        const auto connecting = result.connect_time.value_or(duration::zero());
        const auto work = std::max(duration::zero(), now - ended.sent - connecting - round_trips_.to(it));
        const auto estimate = latency_estimates_.find(ended.route);
        if (estimate != latency_estimates_.end()) {
            estimate->second.add(work, now);
        }
        it.on_answer(work, ended.typical_latency, ended.sent, ended.overload_latency, now);
        break;
    }
    case attempt_outcome::refused:
        if (!result.back_off) {
            it.on_refused(now);
        }
        break;
    case attempt_outcome::replaced:
        searchers_.mark_replaced(it);
        on_searcher_ended(it, now, out);
        break;
    case attempt_outcome::not_sent:
        it.on_failure(searcher_fault::unreachable, now);
        reach_.note_connect_failure(now);
        if (result.connection_refused && !may_be_cut_off()) {
            on_searcher_ended(it, now, out);
        }
        break;
    case attempt_outcome::broken:
        reach_.note_loss(now);
        if (result.connect_time) {
            it.new_connection_lost_at = now;
        }
        it.on_failure(searcher_fault::failing, now);
        break;
    }
    if (it.fault != before && it.fault != searcher_fault::replaced) {
        out.emplace_back(gateway_action::report_searcher{it.record.id, it.record.service,
                                                         std::string(name_of(it.fault)), result.detail});
    }
}

void gateway::apply_result(const run_ptr& run, std::size_t part, attempt_result& result, time_point now,
                           output& out) {
    auto& it = run->parts[part];
    if (it.state != part_state::sent) {
        return;
    }
    if (result.outcome == attempt_outcome::answered && is_success(result.response)) {
        it.state = part_state::answered;
        it.response = std::move(result.response);
        run->harmless = true;
        if (suspects_.note_answered(run->fingerprint, now)) {
            report_suspects({run->fingerprint}, {}, true, now, out);
        }
        if (const auto* const plan = run->shards()) {
            // More records of one part cannot be in the answer, and would only use memory until the other
            // parts arrive.
            keep_greatest_records(it.response.body, plan->result_limit);
            it.response.headers.clear();
        }
        end_attempts_of_part(it, true, now, out);
        return;
    }
    run->last_fault = std::string(name_of(result.outcome)) + " " + result.detail;
    const bool idempotent = run->route->repeat == repeatability::idempotent;
    it.may_have_run = it.may_have_run || run_state_of(result.outcome) != run_state::no;
    switch (result.outcome) {
    case attempt_outcome::answered: {
        run->last_fault += "status " + std::to_string(result.response.status);
        const bool repeat = idempotent && is_failure(result.response);
        // The client would take such a status for a promise, and the request has run.
        if (result.response.status >= status_redirect && !promises_not_run(result.response.status)) {
            it.response = std::move(result.response);
            it.has_response = true;
        }
        if (repeat) {
            retry_or_fail(run, part, refusal_reason::broken, now, out);
        } else if (it.open.empty()) {
            it.state = part_state::failed;
            it.reason = refusal_reason::broken;
        }
        return;
    }
    case attempt_outcome::not_sent:
        ++it.failed_connections;
        retry_or_fail(run, part, refusal_reason::no_searcher, now, out);
        return;
    case attempt_outcome::refused:
        if (run->parts.size() > 1 && it.open.empty() && may_retry(*run, it) &&
            budget_is_low(it.service, now)) {
            it.state = part_state::refused;
            return;
        }
        retry_or_fail(run, part, refusal_reason::all_refused, now, out);
        return;
    case attempt_outcome::replaced:
        retry_or_fail(run, part, refusal_reason::all_refused, now, out);
        return;
    case attempt_outcome::broken:
        if (!idempotent) {
            it.state = part_state::failed;
            it.reason = refusal_reason::broken;
        } else if (it.open.empty() && run->parts.size() > 1 && is_suspected(*run, now)) {
            it.state = part_state::deferred;
        } else {
            retry_or_fail(run, part, refusal_reason::broken, now, out);
        }
        return;
    }
}

void gateway::end_attempts_of_part(request_part& part, bool keep_as_probes, time_point now, output& out) {
    for (const auto& it : part.open) {
        const auto found = attempts_.find(it.id);
        if (found == attempts_.end()) {
            continue;
        }
        auto& target = *it.target;
        const bool is_probe =
            target.fault != searcher_fault::none || target.stalled(now, round_trips_.to(target));
        if (keep_as_probes && is_probe) {
            // The result of this attempt shows when the searcher answers again.
            found->second.token = 0;
            found->second.probe_deadline =
                it.sent + std::max(min_probe_timeout, timeout_latency_factor * found->second.typical_latency);
            probe_timers_.add(std::max(now, found->second.probe_deadline), it.id);
            continue;
        }
        target.on_ended(it.id);
        const auto silent_timeout =
            std::max(min_silent_timeout, timeout_latency_factor * found->second.typical_latency);
        if (now - it.sent >= silent_timeout && target.last_answer < it.sent) {
            target.on_failure(searcher_fault::silent, now);
            pending_reports_.push_back(
                {target.record.id, target.record.service, "silent", "no answer within the timeout"});
        }
        attempts_.erase(found);
        ++counters_.cancelled;
        out.emplace_back(gateway_action::cancel{it.id});
    }
    part.open.clear();
}

} // namespace skylarkseam
