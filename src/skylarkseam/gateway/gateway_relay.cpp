// Requests of a host that reaches no searcher: they are passed on to another gateway, which answers them as
// its own clients' requests. A request that may have run here or there is passed on again only if it may run
// twice.
#include <skylarkseam/gateway/gateway.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Number of gateways that are asked to take one request at most. Most of them may be cut off as well, and
/// decline within a round trip.
constexpr std::size_t max_relay_tries = 8;
/// Time in which the other gateway has to accept the request; a round trip between regions and a busy host.
constexpr duration accept_time = milliseconds(250);
/// The same for a request that must not run twice and so is not passed on again without a word.
constexpr duration longest_accept_time = seconds(1);
/// Number of gateways that may leave one request without a word before it fails.
constexpr std::uint32_t max_silent_peers = 2;
constexpr duration check_timeout = milliseconds(100);
/// Longest time for the answer to a liveness request. It is the shortest objective of the routes: a searcher
/// that takes longer than that is of no use to them.
constexpr duration longest_answer_time = seconds(1);
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

} // namespace

void gateway::set_peers(const std::vector<relay_peer>& peers) {
    peers_.set(peers);
}

void gateway::ask_peers(time_point now, output& out) {
    if (!reach_.cut_off()) {
        return;
    }
    for (auto& it : peers_.take_questions(now)) {
        out.emplace_back(gateway_action::ask_peer{std::move(it), table_->version});
    }
}

bool gateway::takes_relays(std::uint64_t config_version) const {
    return is_ready() && !reach_.cut_off() && table_->version >= config_version;
}

void gateway::note_silence(const request_part& part, time_point now) {
    if (!part.open.empty() && now >= part.open.back().hedge_at) {
        reach_.note_silence(part.open.back().sent, now);
    }
}

void gateway::check_reach(time_point now, output& out) {
    const auto due = reach_.checks_due(now);
    if (due == 0) {
        return;
    }
    const auto chosen = searchers_to_check(due, now);
    const auto answer_time = shortest_objective();
    reach_.begin_round(chosen.size(), now);
    for (const auto& it : chosen) {
        const auto id = ++last_attempt_id_;
        reach_checks_[id] = it;
        ++counters_.searcher_checks;
        const auto service = table_->services.find(it->record.service);
        const bool asked = takes_liveness_requests(*it, now) && service != table_->services.end();
        const auto round_trip = round_trips_.to(*it);
        out.emplace_back(gateway_action::check_searcher{
            id, it->record.address, it->record.id, std::max(check_timeout, round_trip * 4),
            asked ? service->second.liveness_path : std::string(), round_trip + answer_time});
    }
}

std::vector<known_searcher_ptr> gateway::searchers_to_check(std::size_t count, time_point now) {
    // Searchers of several zones, so that the end of a whole zone does not look like a cut of this host.
    std::map<std::string, std::vector<known_searcher_ptr>> by_zone;
    std::map<std::string, std::vector<known_searcher_ptr>> others;
    for (const auto& [id, it] : searchers_.all()) {
        if (it->registered && !it->leaving) {
            (takes_liveness_requests(*it, now) ? by_zone : others)[it->record.zone].push_back(it);
        }
    }
    std::vector<known_searcher_ptr> chosen;
    for (auto* const zones : {&by_zone, &others}) {
        while (chosen.size() < count && !zones->empty()) {
            for (auto zone = zones->begin(); zone != zones->end() && chosen.size() < count;) {
                auto& list = zone->second;
                const auto at = reach_random_(static_cast<std::uint32_t>(list.size()));
                chosen.push_back(list[at]);
                list.erase(list.begin() + at);
                zone = list.empty() ? zones->erase(zone) : std::next(zone);
            }
        }
    }
    return chosen;
}

bool gateway::takes_liveness_requests(const known_searcher& it, time_point now) const {
    const auto service = table_->services.find(it.record.service);
    const bool cold =
        service == table_->services.end() || searchers_.may_be_cold(it, service->second.warm_up, now);
    return !it.evacuated && !it.backing_off(now) && !it.rate.limit() && !cold;
}

duration gateway::shortest_objective() const {
    duration shortest = longest_answer_time;
    for (const auto& it : table_->routes) {
        shortest = it.objective > duration::zero() ? std::min(shortest, it.objective) : shortest;
    }
    return shortest;
}

void gateway::take_reach_check(const gateway_event::searcher_checked& event, time_point now, output& out) {
    const auto found = reach_checks_.find(event.id);
    if (found == reach_checks_.end()) {
        return;
    }
    if (event.answer) {
        record_announcements(*found->second, *event.answer, now);
    }
    reach_checks_.erase(found);
    if (!reach_.take_check(event.result, now)) {
        check_reach(now, out);
        return;
    }
    out.emplace_back(gateway_action::report_reach{reach_.cut_off(), searchers_.size(),
                                                  searchers_.count(searcher_fault::unreachable),
                                                  searchers_.count(searcher_fault::silent)});
    if (reach_.cut_off()) {
        relay_open_runs(now, out);
    } else {
        peers_.forget_named();
        // What was believed of the searchers was this host's own fault.
        for (const auto& [id_of, it] : searchers_.all()) {
            if (it->fault == searcher_fault::unreachable || it->fault == searcher_fault::silent) {
                it->forget_fault();
            }
        }
    }
}

void gateway::on_peer_asked(const gateway_event::peer_asked& it, time_point now) {
    if (it.offer) {
        peers_.note_offer(it.address, *it.offer, now);
    } else if (!it.answered) {
        peers_.note_question_unanswered(it.address, now);
    }
}

void gateway::relay(const gateway_request& request, const gateway_route& route, time_point now, output& out) {
    relayed_request it;
    it.id = request.id;
    it.fingerprint = request.fingerprint;
    it.table = table_;
    it.route = &route;
    it.arrived = now;
    it.deadline = deadline_of(request, route, now);
    it.attempts_left = route.max_attempts;
    relays_[request.token] = std::move(it);
    run_timers_.add(relays_[request.token].deadline, request.token);
    relay_on(request.token, now, out);
}

void gateway::relay_open_runs(time_point now, output& out) {
    std::vector<run_ptr> runs;
    for (const auto& [token, run] : runs_) {
        const bool idempotent = run->route->repeat == repeatability::idempotent;
        const bool answered = run->count(part_state::answered) >= run->required_parts();
        if (!run->relayed && !answered && attempts_left(*run) > 0 && now < run->deadline &&
            (idempotent || !run->may_have_run())) {
            runs.push_back(run);
        }
    }
    for (const auto& run : runs) {
        if (!spend_for_relay(*run, now)) {
            continue;
        }
        relayed_request it;
        it.id = run->id;
        it.fingerprint = run->fingerprint;
        it.table = run->table;
        it.route = run->route;
        it.arrived = run->arrived;
        it.deadline = run->deadline;
        it.sent_here = run->may_have_run();
        it.attempts_left = attempts_left(*run);
        runs_.erase(run->token);
        for (auto& part : run->parts) {
            if (part.state == part_state::waiting) {
                wait_lists_[part.service].remove(run->token);
            }
            end_attempts_of_part(part, false, now, out);
        }
        relays_[run->token] = std::move(it);
        relay_on(run->token, now, out);
    }
}

std::uint32_t gateway::attempts_left(const request_run& run) {
    std::size_t most = 0;
    for (const auto& it : run.parts) {
        most = std::max(most, it.tried.size() - it.failed_connections);
    }
    return run.max_attempts - std::min(run.max_attempts, static_cast<std::uint32_t>(most));
}

bool gateway::spend_for_relay(const request_run& run, time_point now) {
    return std::all_of(run.parts.begin(), run.parts.end(), [&](const auto& it) {
        const bool was_sent = it.tried.size() > it.failed_connections;
        return !was_sent || budgets_[it.service].try_spend(options_.extra, hosts_.total, now);
    });
}

void gateway::relay_on(request_token token, time_point now, output& out) {
    auto& it = relays_.at(token);
    const bool may_send = it.tried.size() < max_relay_tries && now < it.deadline;
    const auto peer = may_send ? peers_.pick(it.tried, it.route->home_regions, now) : std::nullopt;
    if (!peer) {
        refuse_relay(token, now, out);
        return;
    }
    it.peer = peer->address;
    it.accepted = false;
    it.tried.push_back(peer->address);
    const bool idempotent = it.route->repeat == repeatability::idempotent;
    it.sent = now;
    it.retry_at = now + (idempotent ? accept_time : longest_accept_time);
    ++counters_.relayed;
    run_timers_.add(it.retry_at, token);
    // The other host counts the time from when it gets the request, and its answer has to be back in time.
    const auto round_trip = round_trips_.to(peer->zone, options_.view.distance_to(peer->zone));
    const auto time_left = std::max(duration(milliseconds(1)), it.deadline - now - round_trip);
    out.emplace_back(
        gateway_action::relay{token, peer->address, it.table->version, it.attempts_left, time_left});
}

void gateway::refuse_relay(request_token token, time_point now, output& out) {
    auto& it = relays_.at(token);
    ++counters_.refused;
    if (it.may_have_run()) {
        const int status = now >= it.deadline ? status_timeout : status_bad_gateway;
        answer_relay(token,
                     {gateway_answer::refused{refusal_reason::cut_off, status, duration::zero()},
                      {run_state::unknown, execution_source::gateway}},
                     now, out);
    } else if (it.refusal) {
        answer_with_word_of_peer(token, std::move(*it.refusal), now, out);
    } else {
        const auto delay = jittered(retry_after_base(refusal_reason::cut_off));
        answer_relay(token,
                     {gateway_answer::refused{refusal_reason::cut_off, status_unavailable, delay},
                      {run_state::no, execution_source::gateway}},
                     now, out);
    }
}

void gateway::answer_with_word_of_peer(request_token token, gateway_answer::relayed answer, time_point now,
                                       output& out) {
    // The other host knows its own searchers only. The request may have run here or at a host before it.
    const auto& it = relays_.at(token);
    auto report = answer.report;
    if (!report.may_have_run() && (it.sent_here || it.lost > 0)) {
        report = {run_state::unknown, execution_source::gateway};
    }
    answer_relay(token, {std::move(answer), report}, now, out);
}

void gateway::answer_relay(request_token token, gateway_reply reply, time_point now, output& out) {
    const auto found = relays_.find(token);
    const auto& it = found->second;
    reply = with_true_promise(std::move(reply));
    gateway_action::answer answer;
    answer.token = token;
    answer.value = std::move(reply.value);
    answer.report = reply.report;
    answer.summary.id = it.id;
    answer.summary.fingerprint = it.fingerprint;
    answer.summary.route = it.route->name;
    answer.summary.config_version = it.table->version;
    answer.summary.elapsed = now - it.arrived;
    answer.summary.objective = it.route->objective;
    answer.summary.relay = it.peer;
    answer.summary.detail = std::string(name_of(refusal_reason::cut_off));
    out.emplace_back(std::move(answer));
    relays_.erase(found);
}

void gateway::on_relay_accepted(request_token token, time_point now) {
    const auto found = relays_.find(token);
    if (found != relays_.end()) {
        found->second.accepted = true;
        peers_.note_word(found->second.peer, now);
    }
}

void gateway::on_relay_ended(request_token token, relay_result result, time_point now, output& out) {
    const auto found = relays_.find(token);
    if (found == relays_.end()) {
        return;
    }
    auto& it = found->second;
    switch (result.outcome) {
    case relay_outcome::answered:
        peers_.note_word(it.peer, now);
        // If the host had no room for the request, which has not run there, another one may have.
        if (result.answer.report.may_have_run() || result.answer.status != status_unavailable || it.refusal) {
            answer_with_word_of_peer(token, std::move(result.answer), now, out);
            return;
        }
        it.accepted = false;
        it.refusal = std::move(result.answer);
        break;
    case relay_outcome::declined:
        peers_.note_declined(it.peer, now);
        break;
    case relay_outcome::not_sent:
        peers_.note_lost(it.peer, now);
        break;
    case relay_outcome::silent:
        peers_.note_silence(it.peer, it.sent, now);
        ++it.lost;
        break;
    case relay_outcome::lost:
        peers_.note_lost(it.peer, now);
        ++it.lost;
        break;
    }
    out.emplace_back(gateway_action::report_relay{it.id, it.peer, result.outcome, result.detail});
    // The attempts that were allowed are used up once another host has accepted the request and is lost.
    const bool idempotent = it.route->repeat == repeatability::idempotent;
    if (it.accepted || it.lost >= max_silent_peers || (it.may_have_run() && !idempotent)) {
        refuse_relay(token, now, out);
        return;
    }
    relay_on(token, now, out);
}

void gateway::on_relay_timer(request_token token, time_point now, output& out) {
    const auto found = relays_.find(token);
    if (found == relays_.end()) {
        return;
    }
    const auto& it = found->second;
    const bool silent = !it.accepted && now >= it.retry_at;
    if (now >= it.deadline || silent) {
        out.emplace_back(gateway_action::cancel_relay{token});
        on_relay_ended(token, {relay_outcome::silent, {}, "no answer in time"}, now, out);
    }
}

} // namespace skylarkseam
