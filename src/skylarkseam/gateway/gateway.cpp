#include <skylarkseam/gateway/gateway.hpp>
#include <skylarkseam/gateway/record_merge.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr duration answer_reserve = milliseconds(15); ///< for the way of an answer back to the client
constexpr std::int64_t objective_reserve_percent = 8; ///< of the objective, besides answer_reserve
/// A request of which nothing was sent waits for room for 1/5 of its objective: refused then, its client has
/// the time for another host.
constexpr std::int64_t wait_part_of_objective = 5;

// After what time a refused client may come back, before jitter.
constexpr duration retry_when_overloaded = milliseconds(150); ///< a few requests' time at a searcher
constexpr duration longest_backlog = seconds(1); ///< load changes faster than a longer one is worked off
constexpr duration retry_when_down = milliseconds(400); ///< about the pause between two probes
/// What a listing takes after a start, from another region and with one call that gets no answer.
constexpr duration retry_when_unknown = milliseconds(500);

constexpr duration early_wait = milliseconds(20);      ///< for requests that come at the very end of a start
constexpr std::size_t most_early = 1000;               ///< requests that wait for it
constexpr duration retry_elsewhere = milliseconds(50); ///< another host answers it
constexpr std::uint32_t jitter_steps = 64;
constexpr double least_jitter = 0.75;
constexpr double jitter_width = 0.75;

constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

duration retry_delay(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::overloaded:
    case refusal_reason::all_refused:
        return retry_when_overloaded;
    case refusal_reason::shards_down:
    case refusal_reason::no_searcher:
        return retry_when_down;
    case refusal_reason::draining:
        return retry_elsewhere;
    default:
        return retry_when_unknown;
    }
}

struct part_services {
    traffic_split& split;
    double offset;

    std::vector<std::string> operator()(const single_service& plan) const { return {plan.service}; }
    std::vector<std::string> operator()(const weighted_split& plan) const {
        return {plan.parts[split.next(plan, offset)].service};
    }
    std::vector<std::string> operator()(const shard_set& plan) const { return plan.services; }
};

} // namespace

gateway::gateway(gateway_options options)
    : options_(std::move(options))
    , searchers_(
          options_.view, options_.timing,
          [this](const known_searcher& it, std::string_view belief, std::string_view reason) {
              notes_.push_back({it.record.id, it.record.service, std::string(belief), std::string(reason)});
          })
    , placement_(searchers_, trips_, options_.seed)
    , random_(options_.seed) {}

bool gateway::set_table(std::shared_ptr<const routing_table> table, time_point now, output& out) {
    if (table->version <= table_->version) {
        return false;
    }
    table_ = std::move(table);
    release_early(now, out);
    on_searchers_changed(now, out);
    return true;
}

void gateway::on_searchers_changed(time_point now, output& out) {
    std::vector<std::string> services;
    for (const auto& [service, list] : waiting_) {
        services.push_back(service);
    }
    for (const auto& it : services) {
        pump(it, now, out);
    }
    for (auto& it : notes_) {
        out.emplace_back(std::move(it));
    }
    notes_.clear();
}

void gateway::handle(gateway_input event, time_point now, output& out) {
    struct visitor {
        gateway& self;
        time_point now;
        output& out;
        void operator()(gateway_event::request_arrived& it) const { self.arrive(it.request, now, out); }
        void operator()(gateway_event::client_disconnected& it) const { self.leave(it.token, now, out); }
        void operator()(gateway_event::attempt_connecting& it) const { self.note_sent(it.id, false); }
        void operator()(gateway_event::attempt_sent& it) const { self.note_sent(it.id, true); }
        void operator()(gateway_event::attempt_ended& it) const {
            self.end_attempt(it.id, std::move(it.result), now, out);
        }
        void operator()(gateway_event::time_passed&) const { self.on_time(now, out); }
    };
    std::visit(visitor{*this, now, out}, event);
    for (auto& it : notes_) {
        out.emplace_back(std::move(it));
    }
    notes_.clear();
}

std::optional<time_point> gateway::next_wakeup() const {
    std::optional<time_point> next = searchers_.next_wakeup();
    for (const auto& it : {run_timers_.next(), probe_timers_.next()}) {
        if (it && (!next || *it < *next)) {
            next = it;
        }
    }
    return next;
}

void gateway::set_listing_complete(time_point now, output& out) {
    complete_ = true;
    release_early(now, out);
}

void gateway::release_early(time_point now, output& out) {
    if (!knows_enough()) {
        return;
    }
    std::vector<early_request> held;
    held.swap(early_);
    for (auto& it : held) {
        // The wait counts against the client's time.
        if (it.request.time_left) {
            *it.request.time_left -= std::min(*it.request.time_left, now - it.arrived);
        }
        --counters_.requests;
        arrive(it.request, now, out);
    }
}

void gateway::refuse(const gateway_request& request, refusal_reason reason, time_point, output& out) {
    const bool no_route = reason == refusal_reason::no_route;
    gateway_action::answer answer;
    answer.token = request.token;
    answer.value = gateway_answer::refused{reason, no_route ? status_not_found : status_unavailable,
                                           no_route ? duration::zero() : jittered(retry_delay(reason))};
    answer.summary.id = request.id;
    answer.summary.config_version = table_->version;
    answer.summary.detail = std::string(name_of(reason));
    ++counters_.refused;
    out.emplace_back(std::move(answer));
}

void gateway::arrive(const gateway_request& request, time_point now, output& out) {
    ++counters_.requests;
    if (!knows_enough()) {
        if (early_.size() >= most_early) {
            refuse(request, refusal_reason::not_ready, now, out);
            return;
        }
        early_.push_back({request, now});
        run_timers_.add(now + early_wait, 0);
        return;
    }
    const auto* const route = find_route(*table_, request.host, request.path);
    if (route == nullptr) {
        refuse(request, refusal_reason::no_route, now, out);
        return;
    }
    start_run(request, *route, now, out);
}

void gateway::start_run(const gateway_request& request, const gateway_route& route, time_point now,
                        output& out) {
    auto run = std::make_shared<request_run>();
    run->token = request.token;
    run->id = request.id;
    run->table = table_;
    run->route = &route;
    run->arrived = now;
    const auto reserve = answer_reserve + route.objective * objective_reserve_percent / 100;
    run->objective_at = now + std::max(route.objective / 2, route.objective - reserve);
    run->wait_until = now + route.objective / wait_part_of_objective;
    const auto patience = std::min(route.timeout, request.time_left.value_or(route.timeout));
    run->deadline = now + std::max(patience / 2, patience - answer_reserve);
    run->objective_at = std::min(run->objective_at, run->deadline);
    make_parts(*run, now);
    runs_[request.token] = run;
    run_timers_.add(run->objective_at, request.token);
    run_timers_.add(run->deadline, request.token);
    place_all(run, now, out);
    check(run, now, out);
}

void gateway::make_parts(request_run& run, time_point now) {
    const double offset = static_cast<double>(random_(jitter_steps)) / jitter_steps;
    const part_services select{splits_[run.route->name], offset};
    const auto services = std::visit(select, run.route->plan);
    for (const auto& it : services) {
        request_part part;
        part.service = it;
        run.parts.push_back(std::move(part));
        budgets_[it].on_request(now);
    }
}

void gateway::leave(request_token token, time_point now, output& out) {
    std::erase_if(early_, [token](const auto& it) { return it.request.token == token; });
    const auto found = runs_.find(token);
    if (found == runs_.end()) {
        return;
    }
    const auto run = found->second;
    runs_.erase(found);
    for (auto& part : run->parts) {
        withdraw_part(part, false, now, out);
        if (part.state == part_state::waiting) {
            waiting_[part.service].remove(token);
        }
    }
    for (const auto& part : run->parts) {
        pump(part.service, now, out);
    }
}

void gateway::on_time(time_point now, output& out) {
    searchers_.expire(now);
    while (!early_.empty() && now >= early_.front().arrived + early_wait) {
        const auto request = early_.front().request;
        early_.erase(early_.begin());
        refuse(request, refusal_reason::not_ready, now, out);
    }
    while (const auto token = run_timers_.pop_due(now)) {
        const auto found = runs_.find(*token);
        if (found == runs_.end()) {
            continue;
        }
        const auto run = found->second;
        for (std::size_t n = 0; n < run->parts.size(); ++n) {
            auto& part = run->parts[n];
            if (part.state == part_state::waiting && now >= run->wait_until) {
                waiting_[part.service].remove(run->token);
                part.state = part_state::failed;
                part.reason = refusal_reason::overloaded;
            } else if (part.state == part_state::sent) {
                send_again(run, n, now, out);
            }
        }
        check(run, now, out);
    }
    while (const auto id = probe_timers_.pop_due(now)) {
        const auto found = attempts_.find(*id);
        if (found == attempts_.end() || found->second.token != 0 || now < found->second.give_up) {
            continue;
        }
        auto& it = found->second;
        it.target->on_ended(*id);
        it.target->on_failure(searcher_fault::silent, now);
        notes_.push_back({it.target->record.id, it.target->record.service, "silent", "no answer to a test"});
        attempts_.erase(found);
        ++counters_.cancelled;
        out.emplace_back(gateway_action::cancel{*id});
    }
}

void gateway::check(const run_ptr& run, time_point now, output& out) {
    if (!runs_.contains(run->token)) {
        return;
    }
    const bool open = std::any_of(run->parts.begin(), run->parts.end(), [](const auto& it) {
        return it.state == part_state::waiting || (it.state == part_state::sent && !it.probing);
    });
    if (!open && run->count(part_state::refused) > 0) {
        settle_refused(run, now, out);
        check(run, now, out);
        return;
    }
    const auto answered = run->count(part_state::answered);
    const auto least = run->least_parts();
    const bool late = now >= run->deadline;
    if (answered < least) {
        if (run->hopeful() < least) {
            const auto failed = std::find_if(run->parts.begin(), run->parts.end(),
                                             [](const auto& it) { return it.state == part_state::failed; });
            const auto reason = failed == run->parts.end() ? refusal_reason::all_refused : failed->reason;
            finish(run, failure_of(*run, reason), now, out);
        } else if (late) {
            finish(run, failure_of(*run, refusal_reason::deadline), now, out);
        }
        return;
    }
    if (open && now < run->objective_at && !late) {
        return;
    }
    if (run->shards() == nullptr) {
        finish(run, gateway_answer::forwarded{std::move(run->parts.front().response)}, now, out);
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
    finish(run, std::move(merged), now, out);
}

any_answer gateway::failure_of(const request_run& run, refusal_reason reason) {
    const auto& first = run.parts.front();
    if (run.shards() == nullptr && first.has_response) {
        return gateway_answer::forwarded{first.response};
    }
    if (run.may_have_run()) {
        const bool timed_out = reason == refusal_reason::deadline;
        return gateway_answer::refused{reason, timed_out ? status_timeout : status_bad_gateway,
                                       duration::zero()};
    }
    const auto delay = std::max(retry_delay(reason), std::min(run.backlog, longest_backlog));
    return gateway_answer::refused{reason, status_unavailable, jittered(delay)};
}

void gateway::finish(const run_ptr& run, any_answer value, time_point now, output& out) {
    if (std::holds_alternative<gateway_answer::refused>(value)) {
        ++counters_.refused;
    } else if (run->count(part_state::answered) == run->parts.size()) {
        ++counters_.whole;
    } else {
        ++counters_.partial;
    }
    runs_.erase(run->token);
    out.emplace_back(gateway_action::answer{run->token, std::move(value), run->summary(now)});
    withdraw(*run, now, out);
}

void gateway::withdraw(request_run& run, time_point now, output& out) {
    for (auto& part : run.parts) {
        const bool had_open = !part.open.empty();
        if (part.state == part_state::waiting) {
            waiting_[part.service].remove(run.token);
        }
        withdraw_part(part, true, now, out);
        if (had_open) {
            pump(part.service, now, out);
        }
    }
}

duration gateway::jittered(duration base) {
    const double factor = least_jitter + jitter_width * random_(jitter_steps) / jitter_steps;
    return duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

} // namespace skylarkseam
