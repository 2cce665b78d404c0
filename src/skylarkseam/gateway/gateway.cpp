#include <skylarkseam/gateway/gateway.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr duration reply_reserve = milliseconds(15); ///< Time before a deadline for the answer's way.

/// Time that a request waits for the gateway to become ready; this covers requests that arrive at the very
/// end of the startup.
constexpr duration startup_wait = milliseconds(20);
/// Maximum number of requests that wait for the gateway to become ready.
constexpr std::size_t max_startup_requests = 1000;
constexpr std::uint32_t jitter_steps = 64;
constexpr double min_jitter_factor = 0.75;
constexpr double jitter_factor_range = 0.75;

struct select_services {
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
    , searchers_(options_.view, options_.timing,
                 [this](const known_searcher& it, std::string_view belief, std::string_view reason) {
                     pending_reports_.push_back(
                         {it.record.id, it.record.service, std::string(belief), std::string(reason)});
                 })
    , placement_(searchers_, round_trips_, options_.seed)
    , random_(options_.seed)
    , reach_random_(options_.seed)
    , peers_(options_.view, options_.seed) {}

bool gateway::set_table(std::shared_ptr<const routing_table> table, time_point now, output& out) {
    if (table->version <= table_->version) {
        return false;
    }
    table_ = std::move(table);
    release_startup_queue(now, out);
    on_searchers_changed(now, out);
    return true;
}

void gateway::on_searchers_changed(time_point now, output& out) {
    const auto suspected = suspects_.note_removed(now);
    report_suspects(suspected, {}, true, now, out);
    continue_runs_of(suspected, now, out);
    std::vector<std::string> services;
    for (const auto& [service, list] : wait_lists_) {
        services.push_back(service);
    }
    for (const auto& it : services) {
        dispatch_waiting(it, now, out);
    }
    for (auto& it : pending_reports_) {
        out.emplace_back(std::move(it));
    }
    pending_reports_.clear();
}

void gateway::handle(gateway_input event, time_point now, output& out) {
    struct visitor {
        gateway& self;
        time_point now;
        output& out;
        void operator()(gateway_event::request_arrived& it) const {
            self.on_request_arrived(it.request, now, out);
        }
        void operator()(gateway_event::client_disconnected& it) const {
            self.on_client_disconnected(it.token, now, out);
        }
        void operator()(gateway_event::attempt_connecting& it) const { self.set_may_run(it.id, false); }
        void operator()(gateway_event::attempt_sent& it) const { self.set_may_run(it.id, true); }
        void operator()(gateway_event::attempt_ended& it) const {
            self.on_attempt_ended(it.id, std::move(it.result), now, out);
        }
        void operator()(gateway_event::searcher_checked& it) const { self.on_searcher_checked(it, now, out); }
        void operator()(gateway_event::relay_accepted& it) const { self.on_relay_accepted(it.token, now); }
        void operator()(gateway_event::relay_ended& it) const {
            self.on_relay_ended(it.token, std::move(it.result), now, out);
        }
        void operator()(gateway_event::peer_asked& it) const { self.on_peer_asked(it, now); }
        void operator()(gateway_event::time_passed&) const { self.on_timer(now, out); }
    };
    std::visit(visitor{*this, now, out}, event);
    check_reach(now, out);
    ask_peers(now, out);
    for (auto& it : pending_reports_) {
        out.emplace_back(std::move(it));
    }
    pending_reports_.clear();
}

std::optional<time_point> gateway::next_wakeup() const {
    std::optional<time_point> next = searchers_.next_wakeup();
    const auto questions = reach_.cut_off() ? std::optional(peers_.next_questions()) : std::nullopt;
    for (const auto& it : {run_timers_.next(), probe_timers_.next(), reach_.next_wakeup(), questions}) {
        if (it && (!next || *it < *next)) {
            next = it;
        }
    }
    return next;
}

void gateway::set_listing_complete(time_point now, output& out) {
    listing_complete_ = true;
    release_startup_queue(now, out);
}

void gateway::release_startup_queue(time_point now, output& out) {
    if (!is_ready()) {
        return;
    }
    std::vector<startup_request> waiting_requests;
    waiting_requests.swap(startup_queue_);
    for (auto& it : waiting_requests) {
        // The time in the startup queue counts against the client's time.
        if (it.request.time_left) {
            *it.request.time_left -= std::min(*it.request.time_left, now - it.arrived);
        }
        --counters_.requests;
        on_request_arrived(it.request, now, out);
    }
}

void gateway::on_request_arrived(const gateway_request& request, time_point now, output& out) {
    ++counters_.requests;
    if (refuses_new_) {
        refuse(request, refusal_reason::draining, out);
        return;
    }
    if (!is_ready()) {
        if (startup_queue_.size() >= max_startup_requests) {
            refuse(request, refusal_reason::not_ready, out);
            return;
        }
        startup_queue_.push_back({request, now});
        run_timers_.add(now + startup_wait, 0);
        return;
    }
    const auto* const route = find_route(*table_, request.host, request.path);
    if (route == nullptr) {
        refuse(request, refusal_reason::no_route, out);
        return;
    }
    if (refuse_if_it_crashes(request, now, out)) {
        return;
    }
    if (!reach_.cut_off()) {
        start_run(request, *route, now, out);
    } else if (request.relayed) {
        refuse(request, refusal_reason::cut_off, out);
    } else {
        relay(request, *route, now, out);
    }
}

void gateway::start_run(const gateway_request& request, const gateway_route& route, time_point now,
                        output& out) {
    auto run = std::make_shared<request_run>();
    run->token = request.token;
    run->id = request.id;
    run->fingerprint = request.fingerprint;
    run->relayed = request.relayed;
    run->max_attempts = std::min(route.max_attempts, request.max_attempts.value_or(route.max_attempts));
    run->table = table_;
    run->route = &route;
    run->arrived = now;
    run->objective_end = now + route.objective - answer_reserve_.of(route.objective, request.round_trip);
    run->wait_deadline = now + route.objective / wait_objective_divisor;
    run->deadline = deadline_of(request, route, now);
    run->objective_end = std::min(run->objective_end, run->deadline);
    make_parts(*run, now);
    runs_[request.token] = run;
    run_timers_.add(run->objective_end, request.token);
    run_timers_.add(run->deadline, request.token);
    place_request(run, now, out);
    finish_if_ready(run, now, out);
}

time_point gateway::deadline_of(const gateway_request& request, const gateway_route& route, time_point now) {
    const auto time_limit = std::min(route.timeout, request.time_left.value_or(route.timeout));
    return now + std::max(time_limit / 2, time_limit - reply_reserve);
}

void gateway::make_parts(request_run& run, time_point now) {
    const double offset = static_cast<double>(random_(jitter_steps)) / jitter_steps;
    const select_services select{traffic_splits_[run.route->name], offset};
    const auto services = std::visit(select, run.route->plan);
    for (const auto& it : services) {
        request_part part;
        part.service = it;
        run.parts.push_back(std::move(part));
        budgets_[it].on_request(now);
    }
}

void gateway::on_client_disconnected(request_token token, time_point now, output& out) {
    std::erase_if(startup_queue_, [token](const auto& it) { return it.request.token == token; });
    if (relays_.erase(token) > 0) {
        out.emplace_back(gateway_action::cancel_relay{token});
    }
    const auto found = runs_.find(token);
    if (found == runs_.end()) {
        return;
    }
    const auto run = found->second;
    runs_.erase(found);
    for (auto& part : run->parts) {
        end_attempts_of_part(part, false, now, out);
        if (part.state == part_state::waiting) {
            wait_lists_[part.service].remove(token);
        }
    }
    for (const auto& part : run->parts) {
        dispatch_waiting(part.service, now, out);
    }
}

void gateway::on_timer(time_point now, output& out) {
    searchers_.expire(now);
    while (!startup_queue_.empty() && now >= startup_queue_.front().arrived + startup_wait) {
        const auto request = startup_queue_.front().request;
        startup_queue_.erase(startup_queue_.begin());
        refuse(request, refusal_reason::not_ready, out);
    }
    if (const auto due = run_timers_.next(); due && *due <= now) {
        answer_reserve_.note_timer(*due, now);
    }
    while (const auto token = run_timers_.pop_due(now)) {
        const auto found = runs_.find(*token);
        if (found == runs_.end()) {
            on_relay_timer(*token, now, out);
            continue;
        }
        const auto run = found->second;
        for (std::size_t n = 0; n < run->parts.size(); ++n) {
            auto& part = run->parts[n];
            if (part.state == part_state::waiting && now >= run->wait_deadline) {
                wait_lists_[part.service].remove(run->token);
                part.state = part_state::failed;
                part.reason = refusal_reason::overloaded;
            } else if (part.state == part_state::sent) {
                note_silence(part, now);
                send_hedge(run, n, now, out);
            }
        }
        finish_if_ready(run, now, out);
    }
    while (const auto id = probe_timers_.pop_due(now)) {
        const auto found = attempts_.find(*id);
        if (found == attempts_.end() || found->second.token != 0 || now < found->second.probe_deadline) {
            continue;
        }
        auto& it = found->second;
        it.target->on_ended(*id);
        it.target->on_failure(searcher_fault::silent, now);
        pending_reports_.push_back(
            {it.target->record.id, it.target->record.service, "silent", "no answer to a probe"});
        attempts_.erase(found);
        ++counters_.cancelled;
        out.emplace_back(gateway_action::cancel{*id});
    }
}

duration gateway::jittered(duration base) {
    const double factor = min_jitter_factor + jitter_factor_range * random_(jitter_steps) / jitter_steps;
    return duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

} // namespace skylarkseam
