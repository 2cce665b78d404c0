// Second attempts of a gateway's requests: hedges of slow ones and retries of failed ones, within the retry
// budget.
#include <skylarkseam/gateway/gateway.hpp>
#include <skylarkseam/gateway/second_attempts.hpp>

namespace skylarkseam {
namespace {

/// Time until the next hedging attempt if the retry budget or the connection slots were used up.
constexpr duration hedge_retry_interval = milliseconds(40);
/// Age of the latest attempt from which a request that has missed its objective may be hedged.
constexpr duration late_retry_after = seconds(1);
/// Number of connection failures that are tolerated for one part.
constexpr std::uint32_t max_failed_connections = 3;

} // namespace

void gateway::send_hedge(const run_ptr& run, std::size_t part, time_point now, output& out) {
    auto& it = run->parts[part];
    if (it.open.empty() || run->route->repeat != repeatability::idempotent || !may_retry(*run, it) ||
        is_suspected(*run, now)) {
        return;
    }
    auto& latest = it.open.back();
    if (now < latest.hedge_at) {
        return;
    }
    latest.hedge_at = now + hedge_retry_interval;
    run_timers_.add(latest.hedge_at, run->token);
    auto request = placement_request_for(*run, it, now);
    request.probes = probe_rule::none;
    const auto choice = placement_.pick(request);
    if (choice.outcome != placement_outcome::found) {
        return;
    }
    const auto done = now + choice.expected_latency;
    const bool before_objective = done < run->objective_end;
    const bool late_retry = now - latest.sent >= late_retry_after && done < run->deadline;
    if (!before_objective && !late_retry) {
        return;
    }
    if (!budgets_[it.service].try_spend(options_.extra, hosts_.total, now)) {
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

void gateway::retry_or_fail(const run_ptr& run, std::size_t part, refusal_reason reason, time_point now,
                            output& out) {
    auto& it = run->parts[part];
    if (!it.open.empty()) {
        return;
    }
    it.state = part_state::failed;
    it.reason = reason;
    if (!may_retry(*run, it) || now >= run->deadline) {
        return;
    }
    if (fail_if_it_crashes(*run, part, now)) {
        return;
    }
    const bool was_sent = it.tried.size() > it.failed_connections;
    if (was_sent && !budgets_[it.service].try_spend(options_.extra, hosts_.total, now)) {
        it.extra_denied = true;
        ++counters_.extra_denied;
        return;
    }
    counters_.extra_attempts += was_sent ? 1 : 0;
    if (run->shards() == nullptr) {
        // A request whose only searcher failed late may wait as long for another one as a new request.
        run->wait_deadline =
            std::max(run->wait_deadline, now + run->route->objective / wait_objective_divisor);
    }
    place_part(run, part, was_sent, now, out);
    if (!it.open.empty()) {
        out.emplace_back(gateway_action::report_retry{run->id, it.service, it.open.back().target->record.id,
                                                      run->last_fault, now - run->arrived});
    }
    if (it.state == part_state::failed) {
        it.reason = reason;
    }
}

void gateway::resolve_refused_parts(const run_ptr& run, time_point now, output& out) {
    auto left = parts_worth_retrying(run->count(part_state::answered), run->count(part_state::refused),
                                     run->required_parts());
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

bool gateway::may_retry(const request_run& run, const request_part& part) const {
    return part.tried.size() - part.failed_connections < run.max_attempts &&
           part.failed_connections <= max_failed_connections;
}

bool gateway::budget_is_low(const std::string& service, time_point now) {
    return budgets_[service].remaining_share(options_.extra, hosts_.total, now) < low_budget_share;
}

bool gateway::budget_is_ample(const std::string& service, time_point now) {
    return budgets_[service].remaining_share(options_.extra, hosts_.total, now) >= ample_budget_share;
}

} // namespace skylarkseam
