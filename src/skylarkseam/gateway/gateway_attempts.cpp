// The attempts of a gateway's requests: sending them, sending again what is stuck, and taking their results.
#include <skylarkseam/gateway/gateway.hpp>
#include <skylarkseam/gateway/record_merge.hpp>
#include <skylarkseam/gateway/second_attempts.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr double again_factor =
    3.0; ///< times the usual latency before a second attempt: about 2 in 100 take longer
constexpr duration again_floor = milliseconds(12); ///< for the time that a busy host itself takes
constexpr double most_slowness_waited_for = 2.0;
constexpr duration again_pause = milliseconds(40); ///< after the budget or the room was short
constexpr duration rescue_after = seconds(1); ///< a late request is sent again once it has waited so long
constexpr duration least_connect_timeout = milliseconds(80);
constexpr int trips_to_connect = 4;                    ///< round trips that opening a connection may take
constexpr std::uint32_t most_unsent = 3;               ///< connections that may fail for one part
constexpr duration probe_patience = milliseconds(450); ///< longer than the pauses that searchers make
constexpr duration silent_after = milliseconds(700);
constexpr int patience_factor = 6; ///< times the usual latency, where that is long
/// A searcher has too much to do when it takes half of the objective, and twice what it takes without a
/// queue.
constexpr int in_time_part_of_objective = 2;
constexpr int in_time_factor = 2;
constexpr int usual_part_of_objective =
    5; ///< a request takes about 1/5 of its objective, until more is known
constexpr int status_ok = 200;
constexpr int status_redirect = 300;
constexpr int status_server_error = 500;

bool is_success(const searcher_response& it) {
    return it.status >= status_ok && it.status < status_redirect && !it.proof.empty() && !it.encoded;
}

} // namespace

void gateway::send(const run_ptr& run, std::size_t part, const placement_choice& choice, time_point now,
                   output& out) {
    auto& it = run->parts[part];
    const auto id = ++last_attempt_;
    const auto& estimate = usual_of(*run->route);
    const auto usual = estimate.median();
    const auto in_time =
        std::max(run->route->objective / in_time_part_of_objective, in_time_factor * estimate.shortest());
    const auto trip = trips_.to(*choice.target);
    choice.target->on_sent(id, now, usual);
    attempts_[id] = {run->token, part, choice.target, run->route->name, now, usual, in_time, {}};

    const double slowness = std::clamp(choice.target->slowness, 1.0, most_slowness_waited_for);
    const auto patience =
        duration(static_cast<std::int64_t>(static_cast<double>(usual.count()) * slowness * again_factor));
    const auto again_at = now + trip + std::max(again_floor, patience);
    it.state = part_state::sent;
    it.probing = choice.probe;
    it.tried.push_back(choice.target.get());
    it.open.push_back({id, choice.target, now, again_at});
    if (run->route->repeat == repeatability::idempotent) {
        run_timers_.add(again_at, run->token);
    }
    ++run->attempts;
    ++counters_.attempts;
    const auto time_left = std::max(duration(milliseconds(1)), run->deadline - now);
    const auto connect_timeout = std::max(least_connect_timeout, trip * trips_to_connect);
    out.emplace_back(gateway_action::send{id, run->token, choice.target->record.address,
                                          choice.target->record.id, time_left, connect_timeout});
}

latency_estimate& gateway::usual_of(const gateway_route& route) {
    return usual_.try_emplace(route.name, route.objective / usual_part_of_objective).first->second;
}

bool gateway::may_send_again(const request_run& run, const request_part& part) const {
    return part.tried.size() - part.unsent < run.route->max_attempts && part.unsent <= most_unsent;
}

void gateway::send_again(const run_ptr& run, std::size_t part, time_point now, output& out) {
    auto& it = run->parts[part];
    if (it.open.empty() || run->route->repeat != repeatability::idempotent || !may_send_again(*run, it)) {
        return;
    }
    auto& latest = it.open.back();
    if (now < latest.again_at) {
        return;
    }
    latest.again_at = now + again_pause;
    run_timers_.add(latest.again_at, run->token);
    const auto choice = placement_.pick(request_for(*run, it, now));
    if (choice.outcome != placement_outcome::found || choice.probe) {
        return;
    }
    const auto done = now + choice.expected;
    const bool in_time = done < run->objective_at;
    const bool rescue = now - latest.sent >= rescue_after && done < run->deadline;
    if (!in_time && !rescue) {
        return;
    }
    if (!budgets_[it.service].try_spend(options_.extra, hosts_.all, now)) {
        it.extra_denied = true;
        ++counters_.extra_denied;
        return;
    }
    ++counters_.extra_attempts;
    ++run->extra_attempts;
    out.emplace_back(gateway_action::report_retry{run->id, it.service, choice.target->record.id,
                                                  "no_answer_yet", now - latest.sent});
    send(run, part, choice, now, out);
}

void gateway::note_sent(attempt_id id, bool sent) {
    const auto found = attempts_.find(id);
    const auto run = found == attempts_.end() ? runs_.end() : runs_.find(found->second.token);
    if (run == runs_.end()) {
        return;
    }
    for (auto& it : run->second->parts[found->second.part].open) {
        it.may_run = it.id == id ? sent : it.may_run;
    }
}

void gateway::end_attempt(attempt_id id, attempt_result result, time_point now, output& out) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    auto ended = std::move(found->second);
    attempts_.erase(found);
    ended.target->on_ended(id);
    note_result(ended, result, now, out);
    const auto run = runs_.find(ended.token);
    if (ended.token != 0 && run != runs_.end()) {
        const auto held = run->second;
        std::erase_if(held->parts[ended.part].open, [id](const auto& it) { return it.id == id; });
        take_result(held, ended.part, result, now, out);
        check(held, now, out);
    }
    pump(ended.target->record.service, now, out);
}

void gateway::note_result(attempt& ended, const attempt_result& result, time_point now, output& out) {
    auto& it = *ended.target;
    const auto before = it.fault;
    if (result.connect_time) {
        trips_.add(it.record.zone, *result.connect_time);
    }
    switch (result.outcome) {
    case attempt_outcome::answered: {
        if (result.response.status >= status_server_error) {
            it.on_failure(searcher_fault::failing, now);
            break;
        }
        const auto work = std::max(duration::zero(), now - ended.sent - trips_.to(it));
        const auto estimate = usual_.find(ended.route);
        if (estimate != usual_.end()) {
            estimate->second.add(work, now);
        }
        it.on_answer(work, ended.usual, ended.sent, ended.in_time, now);
        break;
    }
    case attempt_outcome::refused:
        it.on_refused(now);
        break;
    case attempt_outcome::replaced:
        searchers_.mark_replaced(it);
        break;
    case attempt_outcome::not_sent:
        it.on_failure(searcher_fault::unreachable, now);
        break;
    case attempt_outcome::broken:
        it.on_failure(searcher_fault::failing, now);
        break;
    }
    if (it.fault != before && it.fault != searcher_fault::replaced) {
        out.emplace_back(gateway_action::report_searcher{it.record.id, it.record.service,
                                                         std::string(name_of(it.fault)), result.detail});
    }
}

void gateway::take_result(const run_ptr& run, std::size_t part, attempt_result& result, time_point now,
                          output& out) {
    auto& it = run->parts[part];
    if (it.state != part_state::sent) {
        return;
    }
    if (result.outcome == attempt_outcome::answered && is_success(result.response)) {
        it.state = part_state::answered;
        it.response = std::move(result.response);
        if (const auto* const plan = run->shards()) {
            // More of one part cannot be in the answer, and would only be held until the others are in.
            keep_greatest_records(it.response.body, plan->result_limit);
            it.response.headers.clear();
        }
        withdraw_part(it, true, now, out);
        return;
    }
    run->last_fault = std::string(name_of(result.outcome)) + " " + result.detail;
    const bool idempotent = run->route->repeat == repeatability::idempotent;
    switch (result.outcome) {
    case attempt_outcome::answered: {
        run->last_fault += "status " + std::to_string(result.response.status);
        it.may_have_run = true;
        const bool failed = result.response.status >= status_redirect;
        const bool repeat = idempotent && (!failed || result.response.status >= status_server_error);
        if (failed) {
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
        ++it.unsent;
        retry_or_fail(run, part, refusal_reason::no_searcher, now, out);
        return;
    case attempt_outcome::refused:
        if (run->parts.size() > 1 && it.open.empty() && may_send_again(*run, it) &&
            extra_is_scarce(it.service, now)) {
            it.state = part_state::refused;
            return;
        }
        retry_or_fail(run, part, refusal_reason::all_refused, now, out);
        return;
    case attempt_outcome::replaced:
        retry_or_fail(run, part, refusal_reason::all_refused, now, out);
        return;
    case attempt_outcome::broken:
        it.may_have_run = true;
        if (idempotent) {
            retry_or_fail(run, part, refusal_reason::broken, now, out);
        } else {
            it.state = part_state::failed;
            it.reason = refusal_reason::broken;
        }
        return;
    }
}

void gateway::retry_or_fail(const run_ptr& run, std::size_t part, refusal_reason reason, time_point now,
                            output& out) {
    auto& it = run->parts[part];
    if (!it.open.empty()) {
        return;
    }
    it.state = part_state::failed;
    it.reason = reason;
    if (!may_send_again(*run, it) || now >= run->deadline) {
        return;
    }
    const bool reached_one = it.tried.size() > it.unsent;
    if (reached_one && !budgets_[it.service].try_spend(options_.extra, hosts_.all, now)) {
        it.extra_denied = true;
        ++counters_.extra_denied;
        return;
    }
    counters_.extra_attempts += reached_one ? 1 : 0;
    place(run, part, reached_one, now, out);
    if (!it.open.empty()) {
        out.emplace_back(gateway_action::report_retry{run->id, it.service, it.open.back().target->record.id,
                                                      run->last_fault, now - run->arrived});
    }
    if (it.state == part_state::failed) {
        it.reason = reason;
    }
}

bool gateway::extra_is_scarce(const std::string& service, time_point now) {
    return budgets_[service].part_left(options_.extra, hosts_.all, now) < scarce_part;
}

void gateway::settle_refused(const run_ptr& run, time_point now, output& out) {
    auto left = parts_worth_sending_again(run->count(part_state::answered), run->count(part_state::refused),
                                          run->least_parts());
    for (std::size_t n = 0; n < run->parts.size(); ++n) {
        auto& it = run->parts[n];
        if (it.state != part_state::refused) {
            continue;
        }
        if (left > 0) {
            --left;
            retry_or_fail(run, n, refusal_reason::all_refused, now, out);
        } else {
            it.state = part_state::failed;
            it.reason = refusal_reason::all_refused;
        }
    }
}

void gateway::withdraw_part(request_part& part, bool keep_probes, time_point now, output& out) {
    for (const auto& it : part.open) {
        const auto found = attempts_.find(it.id);
        if (found == attempts_.end()) {
            continue;
        }
        auto& target = *it.target;
        const bool tests = target.fault != searcher_fault::none || target.stalled(now, trips_.to(target));
        if (keep_probes && tests) {
            // What becomes of it tells when the searcher answers again.
            found->second.token = 0;
            found->second.give_up = it.sent + std::max(probe_patience, patience_factor * found->second.usual);
            probe_timers_.add(std::max(now, found->second.give_up), it.id);
            continue;
        }
        target.on_ended(it.id);
        const auto patience = std::max(silent_after, patience_factor * found->second.usual);
        if (now - it.sent >= patience && target.last_answer < it.sent) {
            target.on_failure(searcher_fault::silent, now);
            notes_.push_back({target.record.id, target.record.service, "silent", "no answer"});
        }
        attempts_.erase(found);
        ++counters_.cancelled;
        out.emplace_back(gateway_action::cancel{it.id});
    }
    part.open.clear();
}

} // namespace skylarkseam
