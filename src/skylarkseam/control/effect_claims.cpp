#include <skylarkseam/control/effect_claims.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

error platform_lost(const std::string& detail) {
    return make_error(error_kind::platform_unavailable, "the claim could not be stored: " + detail);
}

error under_way(std::string detail) {
    return make_error(error_kind::duplicate_under_way, std::move(detail));
}

error unknown_outcome(std::string detail) {
    return make_error(error_kind::outcome_unknown, std::move(detail));
}

} // namespace

effect_claims::effect_claims(std::string self, std::uint64_t incarnation, effect_claims_settings settings)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , settings_(settings) {}

void effect_claims::handle(effect_input event, time_point now, std::vector<effect_output>& out) {
    std::visit([&](auto& it) { on(it, now, out); }, event);
}

std::size_t effect_claims::open() const {
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](const auto& it) { return !it.second.answered; }));
}

void effect_claims::on(effect_event::request_arrived& event, time_point now, outputs& out) {
    ++counters_.arrived;
    const auto refuse = [&](error failure) {
        ++counters_.not_run;
        out.emplace_back(effect_action::answer_effect{event.id, std::move(failure)});
    };
    if (event.request.idempotency_key.empty()) {
        return refuse(make_error(error_kind::bad_request, "Idempotency-Key is required by this service"));
    }
    if (entries_.size() >= settings_.most_open) {
        return refuse(make_error(error_kind::overloaded, "too many claims are open"));
    }
    const auto address =
        claim_address_of(event.request.caller, event.request.service, event.request.idempotency_key);
    const auto digest = request_digest(event.request);
    if (const auto same = by_name_.find(address.name); same != by_name_.end()) {
        return answer_local_repeat(entries_.at(same->second), event.id, digest, out);
    }
    entry& it = entries_[event.id];
    it.id = event.id;
    it.request = std::move(event.request);
    it.address = address;
    it.claim.caller = it.request.caller;
    it.claim.service = it.request.service;
    it.claim.key = it.request.idempotency_key;
    it.claim.digest = digest;
    it.claim.holder = self_;
    it.claim.incarnation = incarnation_;
    it.claim.token = self_ + "/" + std::to_string(incarnation_) + "/" + std::to_string(++last_token_);
    it.create_sent = now;
    it.deadline = event.deadline;
    it.answer_by = event.deadline;
    by_name_[address.name] = event.id;
    call(it, platform_method::create, out);
    schedule(it);
}

/// Answers a repeat that reaches the node that is busy with the first arrival.
void effect_claims::answer_local_repeat(const entry& it, effect_id id, const std::string& digest,
                                        outputs& out) {
    ++counters_.duplicates;
    const bool holds = it.now_in == stage::running || it.now_in == stage::settling;
    if (holds && it.claim.digest != digest) {
        out.emplace_back(effect_action::answer_effect{
            id, make_error(error_kind::key_reused, "the key was used with another body")});
        return;
    }
    if (it.now_in == stage::settling && it.reply && it.wanted != final_state::absent) {
        auto reply = *it.reply;
        if (reply.has_value()) {
            reply.value().replayed = true;
        }
        out.emplace_back(effect_action::answer_effect{id, std::move(reply)});
        return;
    }
    out.emplace_back(effect_action::answer_effect{id, under_way("the first request is under way here")});
}

void effect_claims::on(effect_event::effect_ended& event, time_point now, outputs& out) {
    const auto found = entries_.find(event.id);
    if (found == entries_.end() || found->second.now_in != stage::running) {
        return;
    }
    entry& it = found->second;
    switch (event.end) {
    case effect_end::answered:
        it.reply = effect_answer{event.body_json, false};
        it.claim.state = claim_state::done;
        if (event.body_json.size() <= settings_.outcome_bytes) {
            it.claim.outcome_json = std::move(event.body_json);
        }
        return settle(it, final_state::done, now, out);
    case effect_end::not_run:
        ++counters_.not_run;
        event.failure.ran = run_state::no;
        it.reply = std::move(event.failure);
        return settle(it, final_state::absent, now, out);
    case effect_end::unknown:
        ++counters_.unknown;
        it.claim.state = claim_state::unknown;
        it.claim.detail = event.failure.detail;
        it.reply = unknown_outcome("sent, and no answer came: " + event.failure.detail);
        return settle(it, final_state::unknown, now, out);
    }
}

void effect_claims::on(platform_answer& event, time_point now, outputs& out) {
    const auto call = calls_.find(event.id);
    if (call == calls_.end()) {
        return;
    }
    const auto id = call->second;
    entry& it = entries_.at(id);
    calls_.erase(call);
    it.call = 0;
    if (it.now_in == stage::creating) {
        on_created(it, event.response, now, out);
    } else if (it.now_in == stage::reading) {
        on_read(it, event.response, now, out);
    } else if (it.version.empty()) {
        on_settle_read(it, event.response, now, out);
    } else {
        on_settled(it, event.response, now, out);
    }
    if (const auto still = entries_.find(id); still != entries_.end()) {
        schedule(still->second);
    }
}

void effect_claims::on_created(entry& it, const platform_response& response, time_point now, outputs& out) {
    if (response.status == platform_status::ok && !response.objects.empty()) {
        it.version = response.objects.front().version;
        return dispatch(it, now, out);
    }
    it.conflicted = response.status == platform_status::conflict;
    it.create_in_doubt = is_ambiguous(response) || response.status == platform_status::ok;
    if (!it.conflicted && !it.create_in_doubt) {
        return give_up(it, platform_lost(response.detail), now, out);
    }
    if (it.answered) {
        return give_up(it, platform_lost(response.detail), now, out);
    }
    it.now_in = stage::reading;
    read(it, out);
}

void effect_claims::on_read(entry& it, const platform_response& response, time_point now, outputs& out) {
    if (response.status == platform_status::ok && !response.objects.empty()) {
        return judge(it, response.objects.front(), now, out);
    }
    if (response.status == platform_status::not_found) {
        if (it.conflicted) {
            return give_up(it, under_way("the key was released just now"), now, out);
        }
        return give_up(it, platform_lost("not found when read back"), now, out);
    }
    back_off(it, now);
}

/// Decides by the object that stands under this request's name.
void effect_claims::judge(entry& it, const platform_object& object, time_point now, outputs& out) {
    const auto claim = decode_claim(object.value_json);
    if (!claim) {
        return give_up(it, unknown_outcome("the stored claim is not readable"), now, out);
    }
    if (claim->token == it.claim.token) {
        it.version = object.version;
        it.create_in_doubt = false;
        return dispatch(it, now, out);
    }
    if (claim->digest != it.claim.digest) {
        return give_up(it, make_error(error_kind::key_reused, "the key was used with another body"), now,
                       out);
    }
    ++counters_.duplicates;
    answer_from(it, *claim, out);
    give_up(it, under_way("answered"), now, out);
}

/// Answers a repeat from the claim that an earlier arrival left.
void effect_claims::answer_from(entry& it, const claim_record& claim, outputs& out) {
    if (claim.state == claim_state::done && !claim.outcome_json.empty()) {
        ++counters_.replayed;
        return answer(it, effect_answer{claim.outcome_json, true}, out);
    }
    if (claim.state == claim_state::done) {
        return answer(
            it,
            error{error_kind::payload_too_large, "it ran; its answer was too large to keep", run_state::yes},
            out);
    }
    if (claim.state == claim_state::unknown) {
        return answer(it, unknown_outcome(claim.detail), out);
    }
    if (!is_up(claim)) {
        return answer(it, unknown_outcome("the node that ran it has gone: " + claim.holder), out);
    }
    answer(it, under_way("under way at " + claim.holder), out);
}

bool effect_claims::is_up(const claim_record& claim) const {
    const auto same = [&](const member& it) {
        return it.node == claim.holder && it.incarnation == claim.incarnation;
    };
    return members_.empty() || std::any_of(members_.begin(), members_.end(), same);
}

/// Runs the request, unless it was answered meanwhile or the claim is too old to be relied on.
void effect_claims::dispatch(entry& it, time_point now, outputs& out) {
    const bool late = now >= it.deadline || now - it.create_sent > settings_.dispatch_window;
    if (it.answered || late) {
        ++counters_.not_run;
        it.reply = error{error_kind::deadline_exceeded, "the claim came too late to dispatch", run_state::no};
        return settle(it, final_state::absent, now, out);
    }
    ++counters_.dispatched;
    it.now_in = stage::running;
    out.emplace_back(effect_action::run_effect{it.id, it.request, it.deadline});
}

/// Ends a request that was not dispatched by this node; a create in doubt is removed in the background.
void effect_claims::give_up(entry& it, error failure, time_point now, outputs& out) {
    if (!it.answered) {
        counters_.not_run += failure.ran == run_state::no ? 1 : 0;
        answer(it, std::move(failure), out);
    }
    if (!it.create_in_doubt) {
        return finish(it, out);
    }
    settle(it, final_state::absent, now, out);
}

void effect_claims::settle(entry& it, final_state wanted, time_point now, outputs& out) {
    it.now_in = stage::settling;
    it.wanted = wanted;
    it.backoff = duration{};
    it.answer_by = std::min(it.deadline, now + settings_.store_patience);
    if (wanted == final_state::absent) {
        by_name_.erase(it.address.name);
    }
    if (it.version.empty()) {
        read(it, out);
    } else {
        write_final_state(it, out);
    }
    schedule(it);
}

void effect_claims::on_settled(entry& it, const platform_response& response, time_point now, outputs& out) {
    const bool gone = it.wanted == final_state::absent && response.status == platform_status::not_found;
    if (response.status == platform_status::ok || gone) {
        return finish(it, out);
    }
    it.version.clear();
    if (response.status == platform_status::conflict) {
        return read(it, out);
    }
    back_off(it, now);
}

void effect_claims::on_settle_read(entry& it, const platform_response& response, time_point now,
                                   outputs& out) {
    if (response.status == platform_status::not_found) {
        const bool may_still_come = it.create_in_doubt && now < it.create_sent + settings_.create_settle_time;
        return may_still_come ? back_off(it, now) : finish(it, out);
    }
    if (response.status != platform_status::ok || response.objects.empty()) {
        return back_off(it, now);
    }
    const auto& object = response.objects.front();
    const auto claim = decode_claim(object.value_json);
    const bool ours = claim && claim->token == it.claim.token;
    if (!ours && it.create_in_doubt && now < it.create_sent + settings_.create_settle_time) {
        return back_off(it, now);
    }
    const bool stored = claim && it.wanted != final_state::absent && claim->state == it.claim.state;
    if (!ours || stored || claim->state == claim_state::done) {
        return finish(it, out);
    }
    it.version = object.version;
    write_final_state(it, out);
}

void effect_claims::call(entry& it, platform_method method, outputs& out) {
    platform_request request;
    request.method = method;
    request.kind = it.address.kind;
    request.name = it.address.name;
    if (method == platform_method::create || method == platform_method::update) {
        request.value_json = encode_claim(it.claim);
    }
    if (method == platform_method::update || method == platform_method::remove) {
        request.version = it.version;
    }
    it.call = ++last_call_;
    it.retry_at.reset();
    calls_[it.call] = it.id;
    out.emplace_back(platform_call{it.call, std::move(request)});
}

void effect_claims::read(entry& it, outputs& out) {
    call(it, platform_method::get, out);
}

void effect_claims::write_final_state(entry& it, outputs& out) {
    call(it, it.wanted == final_state::absent ? platform_method::remove : platform_method::update, out);
}

void effect_claims::back_off(entry& it, time_point now) {
    it.backoff = std::clamp(2 * it.backoff, settings_.first_backoff, settings_.longest_backoff);
    it.retry_at = now + it.backoff;
}

void effect_claims::answer(entry& it, result<effect_answer> reply, outputs& out) {
    if (it.answered) {
        return;
    }
    it.answered = true;
    out.emplace_back(effect_action::answer_effect{it.id, std::move(reply)});
}

void effect_claims::finish(entry& it, outputs& out) {
    if (it.reply) {
        answer(it, *it.reply, out);
    }
    const auto name = by_name_.find(it.address.name);
    if (name != by_name_.end() && name->second == it.id) {
        by_name_.erase(name);
    }
    timers_.cancel(it.id);
    entries_.erase(it.id);
}

void effect_claims::schedule(const entry& it) {
    std::optional<time_point> when = it.retry_at;
    if (!it.answered && it.now_in != stage::running && (!when || it.answer_by < *when)) {
        when = it.answer_by;
    }
    if (when) {
        timers_.schedule(it.id, *when);
    } else {
        timers_.cancel(it.id);
    }
}

void effect_claims::on(effect_event::time_passed& /*event*/, time_point now, outputs& out) {
    for (const auto id : timers_.take_due(now)) {
        if (const auto found = entries_.find(id); found != entries_.end()) {
            pass_time(found->second, now, out);
        }
    }
}

void effect_claims::pass_time(entry& it, time_point now, outputs& out) {
    const auto id = it.id;
    if (!it.answered && now >= it.answer_by && it.reply) {
        answer(it, *it.reply, out);
    } else if (!it.answered && now >= it.answer_by && it.conflicted) {
        answer(it,
               error{error_kind::platform_unavailable, "the earlier claim could not be read",
                     run_state::unknown},
               out);
    } else if (!it.answered && now >= it.answer_by) {
        ++counters_.not_run;
        answer(it, platform_lost("no answer within the deadline"), out);
    }
    if (it.retry_at && now >= *it.retry_at) {
        if (it.now_in == stage::reading && it.answered) {
            give_up(it, platform_lost("read back too late"), now, out);
        } else {
            read(it, out);
        }
    }
    if (const auto still = entries_.find(id); still != entries_.end()) {
        schedule(still->second);
    }
}

} // namespace skylarkseam
