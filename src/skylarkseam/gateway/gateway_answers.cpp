// How a gateway's requests end: whole, partial, refused or failed, and when a refused client is asked to
// return.
#include <skylarkseam/gateway/gateway.hpp>
#include <skylarkseam/gateway/record_merge.hpp>

#include <algorithm>
#include <utility>

namespace skylarkseam {
namespace {

// Delays that a refused client is asked to wait before a retry, before jitter is applied.
/// Time in which a searcher completes a few requests.
constexpr duration overloaded_retry_after = milliseconds(150);
/// Upper bound of a delay that is based on the expected wait; the load changes faster than a longer queue is
/// processed.
constexpr duration max_wait_retry_after = seconds(1);
/// About the interval between two probes of a searcher.
constexpr duration down_retry_after = milliseconds(400);
/// Duration of the first listing after a start, from another region and with one call that is not answered.
constexpr duration startup_retry_after = milliseconds(500);
/// Short, because another host can answer the retry.
constexpr duration other_host_retry_after = milliseconds(50);

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

constexpr execution_report run_at_searcher{run_state::yes, execution_source::searcher};

} // namespace

gateway_reply with_true_promise(gateway_reply reply) {
    struct status_of {
        int operator()(const gateway_answer::forwarded& it) const { return it.response.status; }
        int operator()(const gateway_answer::merged&) const { return status_ok; }
        int operator()(const gateway_answer::relayed& it) const { return it.status; }
        int operator()(const gateway_answer::refused& it) const { return it.status; }
    };
    if (!reply.report.may_have_run() || !promises_not_run(std::visit(status_of{}, reply.value))) {
        return reply;
    }
    return {gateway_answer::refused{refusal_reason::broken, status_bad_gateway, duration::zero()},
            reply.report};
}

duration gateway::retry_after_base(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::overloaded:
    case refusal_reason::backing_off:
    case refusal_reason::all_refused:
        return overloaded_retry_after;
    case refusal_reason::shards_down:
    case refusal_reason::no_searcher:
        return down_retry_after;
    case refusal_reason::cut_off:
    case refusal_reason::draining:
        return other_host_retry_after;
    default:
        return startup_retry_after;
    }
}

void gateway::refuse(const gateway_request& request, refusal_reason reason, output& out) {
    const bool no_route = reason == refusal_reason::no_route;
    gateway_action::answer answer;
    answer.token = request.token;
    answer.value = gateway_answer::refused{reason, no_route ? status_not_found : status_unavailable,
                                           no_route ? duration::zero() : jittered(retry_after_base(reason))};
    answer.summary.id = request.id;
    answer.summary.fingerprint = request.fingerprint;
    answer.summary.config_version = table_->version;
    answer.summary.detail = std::string(name_of(reason));
    answer.report = {run_state::no, execution_source::gateway};
    ++counters_.refused;
    out.emplace_back(std::move(answer));
}

void gateway::finish_if_ready(const run_ptr& run, time_point now, output& out) {
    if (!runs_.contains(run->token)) {
        return;
    }
    continue_deferred_parts(run, now, out);
    const bool open = std::any_of(run->parts.begin(), run->parts.end(), [](const auto& it) {
        return it.state == part_state::waiting || it.state == part_state::deferred ||
               (it.state == part_state::sent && !it.probing);
    });
    if (!open && run->count(part_state::refused) > 0) {
        resolve_refused_parts(run, now, out);
        finish_if_ready(run, now, out);
        return;
    }
    const auto answered = run->count(part_state::answered);
    const auto required = run->required_parts();
    const bool deadline_passed = now >= run->deadline;
    if (answered < required) {
        if (run->answerable() < required) {
            const auto failed = std::find_if(run->parts.begin(), run->parts.end(),
                                             [](const auto& it) { return it.state == part_state::failed; });
            const auto reason = failed == run->parts.end() ? refusal_reason::all_refused : failed->reason;
            finish(run, failure_of(*run, reason), now, out);
        } else if (deadline_passed) {
            finish(run, failure_of(*run, refusal_reason::deadline), now, out);
        }
        return;
    }
    if (open && now < run->objective_end && !deadline_passed) {
        return;
    }
    if (run->shards() == nullptr) {
        finish(run, {gateway_answer::forwarded{std::move(run->parts.front().response)}, run_at_searcher}, now,
               out);
        return;
    }
    gateway_answer::merged merged;
    std::vector<std::string_view> bodies;
    for (const auto& it : run->parts) {
        if (it.state == part_state::answered) {
            merged.proofs.push_back(it.response.proof);
            bodies.emplace_back(it.response.body);
        }
    }
    merged.missing = static_cast<std::uint32_t>(run->parts.size() - answered);
    merged.body = greatest_records(bodies, run->shards()->result_limit);
    finish(run, {std::move(merged), run_at_searcher}, now, out);
}

gateway_reply gateway::failure_of(const request_run& run, refusal_reason reason) {
    const auto& first = run.parts.front();
    if (run.shards() == nullptr && first.has_response) {
        return {gateway_answer::forwarded{first.response}, run_at_searcher};
    }
    if (run.may_have_run()) {
        const bool timed_out = reason == refusal_reason::deadline || reason == refusal_reason::draining;
        return {gateway_answer::refused{reason, timed_out ? status_timeout : status_bad_gateway,
                                        duration::zero()},
                {run_state::unknown, execution_source::gateway}};
    }
    const auto delay = std::max(retry_after_base(reason), std::min(run.expected_wait, max_wait_retry_after));
    // The jitter never brings a client back before the searchers take requests again.
    const auto retry_after = std::max(jittered(delay), run.searchers_back_in + jittered(delay) / 2);
    return {gateway_answer::refused{reason, status_unavailable, retry_after},
            {run_state::no, execution_source::gateway}};
}

void gateway::finish(const run_ptr& run, gateway_reply reply, time_point now, output& out) {
    reply = with_true_promise(std::move(reply));
    if (const auto* const refused = std::get_if<gateway_answer::refused>(&reply.value)) {
        ++counters_.refused;
        if (refused->reason == refusal_reason::shards_down ||
            refused->reason == refusal_reason::no_searcher) {
            reach_.note_refusal();
        }
    } else if (run->count(part_state::answered) == run->parts.size()) {
        ++counters_.whole;
    } else {
        ++counters_.partial;
    }
    runs_.erase(run->token);
    out.emplace_back(
        gateway_action::answer{run->token, std::move(reply.value), run->summary(now), reply.report});
    // An attempt that still waits for its connection would run after the promise if it were kept as a probe.
    end_attempts_of_run(*run, reply.report.may_have_run(), now, out);
}

void gateway::end_open_requests(time_point now, output& out) {
    for (const auto& it : std::exchange(startup_queue_, {})) {
        refuse(it.request, refusal_reason::draining, out);
    }
    while (!relays_.empty()) {
        const auto token = relays_.begin()->first;
        out.emplace_back(gateway_action::cancel_relay{token});
        ++relays_.begin()->second.lost; // The other host may run it.
        refuse_relay(token, now, out);
    }
    wait_lists_.clear(); // No waiting request takes the slot of one that ends.
    while (!runs_.empty()) {
        const auto run = runs_.begin()->second;
        finish(run, failure_of(*run, refusal_reason::draining), now, out);
    }
}

void gateway::end_attempts_of_run(request_run& run, bool keep_as_probes, time_point now, output& out) {
    for (auto& part : run.parts) {
        const bool had_open = !part.open.empty();
        if (part.state == part_state::waiting) {
            wait_lists_[part.service].remove(run.token);
        }
        end_attempts_of_part(part, keep_as_probes, now, out);
        if (had_open) {
            dispatch_waiting(part.service, now, out);
        }
    }
}

} // namespace skylarkseam
