// Queueing and load shedding of a gateway's requests, for the case that some services have fewer free
// connection slots than requests. A query over shards is sent only once enough of its parts have a free slot,
// so a refused query has cost the searchers no work. A request that would wait too long is refused as soon as
// that is known.
#include <skylarkseam/gateway/gateway.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// While other parts of its request are in progress, a part waits at most 1/4 of the objective for a free
/// connection slot. If it were sent later, it would answer too late and take the slot from a request that
/// could still be in time.
constexpr std::int64_t part_wait_objective_divisor = 4;

/// Time at which enough parts can be sent, if some of them wait only for searchers that are backing off;
/// nothing if no such wait makes the request complete enough.
std::optional<time_point> back_off_end(const std::vector<placement_choice>& choices, std::size_t required) {
    std::vector<time_point> ends;
    std::size_t usable = 0;
    for (const auto& it : choices) {
        if (it.outcome == placement_outcome::backing_off) {
            ends.push_back(it.available_at);
        } else if (it.outcome == placement_outcome::found || it.outcome == placement_outcome::full) {
            ++usable;
        }
    }
    if (usable >= required || usable + ends.size() < required) {
        return std::nullopt;
    }
    std::sort(ends.begin(), ends.end());
    return ends[required - usable - 1];
}

} // namespace

placement_request gateway::placement_request_for(const request_run& run, const request_part& part,
                                                 time_point now) {
    placement_request request;
    const auto service = run.table->services.find(part.service);
    request.service = service == run.table->services.end() ? nullptr : &service->second;
    request.home_regions = run.route->home_regions;
    request.tried = part.tried;
    request.typical_latency = latency_estimate_of(*run.route).median();
    request.objective = run.route->objective;
    request.hosts = hosts_;
    request.now = now;
    return request;
}

void gateway::place_part(const run_ptr& run, std::size_t part, bool extra, time_point now, output& out) {
    auto request = placement_request_for(*run, run->parts[part], now);
    request.probes = probe_rule::none;
    request.without_suspects = is_suspected(*run, now);
    auto choice = placement_.pick(request);
    if (request.without_suspects && choice.outcome != placement_outcome::found) {
        request.without_suspects = false;
        choice = placement_.pick(request);
    }
    if (choice.probe_due && choice.outcome != placement_outcome::found) {
        request.probes = probe_rule::allowed;
        choice = placement_.pick(request);
    }
    apply_choice(run, part, choice, extra, now, out);
}

gateway::request_choices gateway::choose_searchers(const request_run& run, time_point now) {
    request_choices out;
    std::vector<std::size_t> due;
    for (std::size_t n = 0; n < run.parts.size(); ++n) {
        auto request = placement_request_for(run, run.parts[n], now);
        request.probes = probe_rule::none;
        auto choice = placement_.pick(request);
        if (choice.probe_due && choice.outcome == placement_outcome::found) {
            due.push_back(n);
        } else if (choice.probe_due) {
            request.probes = probe_rule::allowed;
            choice = placement_.pick(request);
        }
        out.of_part.push_back(std::move(choice));
    }
    const auto spare_parts = run.parts.size() - run.required_parts();
    const auto limit = std::max<std::size_t>(1, (spare_parts + 1) / 2);
    while (!due.empty() && out.probes.size() < limit) {
        const auto at = random_(static_cast<std::uint32_t>(due.size()));
        out.probes.push_back(due[at]);
        due.erase(due.begin() + at);
    }
    return out;
}

void gateway::send_probe(const run_ptr& run, std::size_t part, time_point now, output& out) {
    auto& it = run->parts[part];
    const bool idempotent = run->route->repeat == repeatability::idempotent;
    if (!idempotent || it.state != part_state::sent || !may_retry(*run, it) || is_suspected(*run, now) ||
        !budget_is_ample(it.service, now)) {
        return;
    }
    auto request = placement_request_for(*run, it, now);
    request.probes = probe_rule::wanted;
    const auto choice = placement_.pick(request);
    if (choice.outcome != placement_outcome::found || !choice.probe ||
        !budgets_[it.service].try_spend(options_.extra, hosts_.total, now)) {
        return;
    }
    ++counters_.extra_attempts;
    ++run->extra_attempts;
    send(run, part, choice, now, out);
}

void gateway::place_request(const run_ptr& run, time_point now, output& out) {
    if (is_suspected(*run, now)) {
        place_suspected(run, now, out);
        return;
    }
    const auto chosen = choose_searchers(*run, now);
    const auto& choices = chosen.of_part;
    if (const auto end = back_off_end(choices, run->required_parts())) {
        end_hold(*run);
        refuse_until(*run, *end, now);
        return;
    }
    const auto count = [&](placement_outcome outcome) {
        return static_cast<std::size_t>(std::count_if(choices.begin(), choices.end(),
                                                      [&](const auto& it) { return it.outcome == outcome; }));
    };
    const auto found = count(placement_outcome::found);
    const auto required = run->required_parts();
    end_hold(*run);
    if (found >= required) {
        run->wait_deadline = run->arrived + run->route->objective / part_wait_objective_divisor;
    } else if (found + count(placement_outcome::full) >= required) {
        hold_request(run, choices, now);
        return;
    }
    for (std::size_t n = 0; n < choices.size(); ++n) {
        if (found < required && choices[n].outcome == placement_outcome::found) {
            // Nothing is sent, so that the answer "not run" is correct.
            run->parts[n].state = part_state::failed;
            run->parts[n].reason = refusal_reason::shards_down;
        } else {
            apply_choice(run, n, choices[n], false, now, out);
        }
    }
    for (const auto part : chosen.probes) {
        send_probe(run, part, now, out);
    }
}

wait_list::entry gateway::entry_of(const request_run& run, std::size_t part) {
    return {run.token, part, run.route->priority, run.arrived, run.wait_deadline, true};
}

void gateway::end_hold(request_run& run) {
    run.held = false;
    for (const auto part : run.held_for) {
        wait_lists_[run.parts[part].service].remove(run.token);
    }
    run.held_for.clear();
}

void gateway::refuse_until(request_run& run, time_point end, time_point now) {
    run.searchers_back_in = end - now;
    for (auto& it : run.parts) {
        it.state = part_state::failed;
        it.reason = refusal_reason::backing_off;
    }
}

void gateway::hold_request(const run_ptr& run, const std::vector<placement_choice>& choices, time_point now) {
    std::vector<duration> waits;
    std::size_t found = 0;
    for (std::size_t n = 0; n < choices.size(); ++n) {
        const auto& it = choices[n];
        found += it.outcome == placement_outcome::found ? 1 : 0;
        if (it.outcome == placement_outcome::full) {
            const auto turns =
                static_cast<std::int64_t>(wait_lists_[run->parts[n].service].ahead_of(entry_of(*run, n))) + 1;
            waits.push_back(it.expected_latency * turns / std::max(1U, it.max_open));
            run->held_for.push_back(n);
        }
    }
    // The request is sent once as many of these parts as it needs have a free connection slot.
    const auto last_needed = waits.begin() + static_cast<std::ptrdiff_t>(run->required_parts() - found) - 1;
    std::nth_element(waits.begin(), last_needed, waits.end());
    run->expected_wait = *last_needed;
    if (now + run->expected_wait > run->wait_deadline) {
        run->held_for.clear();
        for (auto& it : run->parts) {
            it.state = part_state::failed;
            it.reason = refusal_reason::overloaded;
        }
        return;
    }
    run->held = true;
    for (const auto part : run->held_for) {
        wait_lists_[run->parts[part].service].add(entry_of(*run, part));
    }
    run_timers_.add(run->wait_deadline, run->token);
}

void gateway::apply_choice(const run_ptr& run, std::size_t part, const placement_choice& choice, bool extra,
                           time_point now, output& out) {
    auto& it = run->parts[part];
    switch (choice.outcome) {
    case placement_outcome::found:
        run->extra_attempts += extra ? 1 : 0;
        send(run, part, choice, now, out);
        return;
    case placement_outcome::full:
        if (now < run->wait_deadline) {
            it.state = part_state::waiting;
            wait_lists_[it.service].add(
                {run->token, part, run->route->priority, run->arrived, run->wait_deadline, false});
            run_timers_.add(run->wait_deadline, run->token);
            return;
        }
        it.reason = refusal_reason::overloaded;
        break;
    case placement_outcome::backing_off:
        run->searchers_back_in = std::max(run->searchers_back_in, choice.available_at - now);
        it.reason = refusal_reason::backing_off;
        break;
    case placement_outcome::down:
        it.reason = refusal_reason::shards_down;
        break;
    case placement_outcome::none:
        it.reason = it.tried.empty() ? refusal_reason::no_searcher : refusal_reason::all_refused;
        break;
    }
    it.state = part_state::failed;
}

void gateway::dispatch_waiting(const std::string& service, time_point now, output& out) {
    const auto list = wait_lists_.find(service);
    if (list == wait_lists_.end()) {
        return;
    }
    while (!list->second.empty()) {
        const auto next = list->second.take();
        const auto found = runs_.find(next.token);
        if (found == runs_.end() || found->second->parts[next.part].state != part_state::waiting) {
            continue;
        }
        const auto run = found->second;
        if (run->held) {
            place_request(run, now, out);
        } else {
            place_part(run, next.part, false, now, out);
        }
        if (list->second.contains(next.token)) {
            return; // There is no free connection slot, and the request is in the wait list again.
        }
        finish_if_ready(run, now, out);
    }
}

} // namespace skylarkseam
