// Handling of requests that may crash each searcher that runs them. A request that has lost a connection, or
// under which a searcher ended before, is sent to one searcher at a time until one answers, and not beside
// another such request. A query over shards thus costs one searcher instead of one of each shard.
#include <skylarkseam/gateway/gateway.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Shortest time between two checks of a searcher. Many requests may lose their connections at the same time.
constexpr duration check_interval = milliseconds(500);
constexpr duration min_check_timeout = milliseconds(80);
constexpr int check_round_trips = 4; ///< Number of round trips that opening a connection may take.
constexpr int status_unavailable = 503;
/// This host's network counts as the fault if more than 1/2 of the searchers are unreachable.
constexpr std::size_t cut_off_divisor = 2;

} // namespace

bool gateway::is_suspected(const request_run& run, time_point now) const {
    return !run.harmless && (run.losses > 0 || suspects_.of(run.fingerprint, now) != suspicion::none);
}

bool gateway::refuse_if_it_crashes(const gateway_request& request, time_point now, output& out) {
    const auto until = suspects_.refused_until(request.fingerprint, now);
    if (!until) {
        return false;
    }
    ++counters_.crash_refusals;
    ++counters_.refused;
    gateway_action::answer answer;
    answer.token = request.token;
    answer.value = gateway_answer::refused{refusal_reason::crashes, status_unavailable, *until - now};
    answer.summary.id = request.id;
    answer.summary.fingerprint = request.fingerprint;
    answer.summary.config_version = table_->version;
    answer.summary.detail = std::string(name_of(refusal_reason::crashes));
    answer.report = {run_state::no, execution_source::gateway};
    out.emplace_back(std::move(answer));
    return true;
}

void gateway::place_suspected(const run_ptr& run, time_point now, output& out) {
    end_hold(*run);
    for (std::size_t n = 0; n < run->parts.size(); ++n) {
        if (run->parts.size() == 1) {
            place_part(run, n, false, now, out);
        } else {
            run->parts[n].state = part_state::deferred;
        }
    }
    continue_deferred_parts(run, now, out);
}

void gateway::continue_deferred_parts(const run_ptr& run, time_point now, output& out) {
    while (run->count(part_state::deferred) > 0) {
        const bool suspected = is_suspected(*run, now);
        const bool in_progress = std::any_of(run->parts.begin(), run->parts.end(), [&](const auto& it) {
            return it.state == part_state::waiting ||
                   std::any_of(it.open.begin(), it.open.end(), [](const auto& one) { return one.suspected; });
        });
        const bool first_loss = run->losses == 1 && suspects_.ends_of(run->fingerprint, now) == 0;
        if (suspected && (in_progress || (!first_loss && suspects_.undecided(run->fingerprint, now)))) {
            return;
        }
        send_deferred_part(run, next_deferred_part(*run, now), now, out);
    }
}

std::size_t gateway::next_deferred_part(const request_run& run, time_point now) {
    std::size_t first = run.parts.size();
    for (std::size_t n = 0; n < run.parts.size(); ++n) {
        if (run.parts[n].state != part_state::deferred) {
            continue;
        }
        auto request = placement_request_for(run, run.parts[n], now);
        request.probes = probe_rule::none;
        request.without_suspects = true;
        if (placement_.pick(request).outcome == placement_outcome::found) {
            return n;
        }
        first = std::min(first, n);
    }
    return first;
}

void gateway::send_deferred_part(const run_ptr& run, std::size_t part, time_point now, output& out) {
    auto& it = run->parts[part];
    if (!it.tried.empty()) {
        retry_or_fail(run, part, refusal_reason::broken, now, out);
    } else if (!fail_if_it_crashes(*run, part, now)) {
        place_part(run, part, false, now, out);
    }
}

bool gateway::fail_if_it_crashes(request_run& run, std::size_t part, time_point now) {
    const auto until = suspects_.refused_until(run.fingerprint, now);
    if (!until) {
        return false;
    }
    run.searchers_back_in = *until - now;
    run.parts[part].state = part_state::failed;
    run.parts[part].reason = refusal_reason::crashes;
    return true;
}

bool gateway::may_be_cut_off() const {
    return searchers_.count(searcher_fault::unreachable) > searchers_.size() / cut_off_divisor;
}

void gateway::record_loss(const attempt& ended, bool accountable, time_point now, output& out) {
    auto& it = *ended.target;
    if (!accountable || !suspects_.add_loss(ended.fingerprint, ended.target, ended.sent, now) ||
        it.check_open) {
        return;
    }
    if (now - it.checked_at < check_interval) {
        suspects_.note_checked(it); // It accepted connections just now.
        return;
    }
    it.check_open = true;
    it.checked_at = now;
    const auto id = ++last_attempt_id_;
    checks_[id] = ended.target;
    ++counters_.searcher_checks;
    out.emplace_back(
        gateway_action::check_searcher{id, it.record.address, it.record.id,
                                       std::max(min_check_timeout, round_trips_.to(it) * check_round_trips)});
}

void gateway::on_searcher_checked(const gateway_event::searcher_checked& event, time_point now, output& out) {
    const auto found = checks_.find(event.id);
    if (found == checks_.end()) {
        take_reach_check(event, now, out);
        return;
    }
    const auto result = event.result;
    const auto target = found->second;
    checks_.erase(found);
    target->check_open = false;
    if (result == check_result::refused && target->fault == searcher_fault::none) {
        target->on_failure(searcher_fault::unreachable, now);
        out.emplace_back(gateway_action::report_searcher{target->record.id, target->record.service,
                                                         std::string(name_of(target->fault)),
                                                         "no process listens at its address"});
    }
    if (result == check_result::refused && !may_be_cut_off()) {
        on_searcher_ended(*target, now, out);
    } else {
        suspects_.note_checked(*target);
    }
    continue_runs([](const auto& run) { return run.count(part_state::deferred) > 0; }, now, out);
}

void gateway::on_searcher_ended(const known_searcher& it, time_point now, output& out) {
    const auto suspected = suspects_.note_ended(it, now);
    report_suspects(suspected, it.record.id, true, now, out);
    continue_runs_of(suspected, now, out);
}

void gateway::merge_suspects(const std::vector<suspect_report>& reports, time_point now, output& out) {
    const auto changed = suspects_.merge(reports, now);
    report_suspects(changed, {}, false, now, out);
    continue_runs_of(changed, now, out);
}

void gateway::report_suspects(const std::vector<std::string>& fingerprints, const std::string& searcher,
                              bool found_here, time_point now, output& out) {
    for (const auto& it : fingerprints) {
        const auto until = suspects_.refused_until(it, now);
        out.emplace_back(gateway_action::report_suspect{it, searcher, found_here, suspects_.ends_of(it, now),
                                                        std::string(name_of(suspects_.of(it, now))),
                                                        until ? *until - now : duration::zero()});
    }
}

void gateway::continue_runs(const std::function<bool(const request_run& run)>& affected, time_point now,
                            output& out) {
    std::vector<request_token> tokens;
    for (const auto& [token, run] : runs_) {
        if (affected(*run)) {
            tokens.push_back(token);
        }
    }
    for (const auto token : tokens) {
        const auto found = runs_.find(token);
        if (found != runs_.end()) {
            const auto run = found->second; // An answer removes the run from the map.
            finish_if_ready(run, now, out);
        }
    }
}

void gateway::continue_runs_of(const std::vector<std::string>& fingerprints, time_point now, output& out) {
    if (fingerprints.empty()) {
        return;
    }
    continue_runs(
        [&](const auto& run) {
            return std::find(fingerprints.begin(), fingerprints.end(), run.fingerprint) != fingerprints.end();
        },
        now, out);
}

} // namespace skylarkseam
