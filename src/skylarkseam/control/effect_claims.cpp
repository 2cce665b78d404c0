#include <skylarkseam/control/effect_claims.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

error claim_not_stored(const std::string& detail) {
    return make_error(error_kind::platform_unavailable, "the claim could not be stored: " + detail);
}

error duplicate_error(std::string detail) {
    return make_error(error_kind::duplicate_under_way, std::move(detail));
}

error unknown_outcome_error(std::string detail) {
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
    if (entries_.size() >= settings_.max_open) {
        return refuse(make_error(error_kind::overloaded, "too many claims are open"));
    }
    const auto address =
        claim_address_of(event.request.caller, event.request.service, event.request.idempotency_key);
    const auto digest = request_digest(event.request);
    if (const auto same = entry_by_claim_name_.find(address.name); same != entry_by_claim_name_.end()) {
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
    it.answer_deadline = event.deadline;
    entry_by_claim_name_[address.name] = event.id;
    call(it, platform_method::create, out);
    schedule(it);
}

/// Answers a repeat that arrives at the node on which the first arrival is still open.
void effect_claims::answer_local_repeat(const entry& it, effect_id id, const std::string& digest,
                                        outputs& out) {
    ++counters_.duplicates;
    const bool holds = it.current_stage == stage::running || it.current_stage == stage::storing_state;
    if (holds && it.claim.digest != digest) {
        out.emplace_back(effect_action::answer_effect{
            id, make_error(error_kind::key_reused, "the key was used with another body")});
        return;
    }
    if (it.current_stage == stage::storing_state && it.reply && it.target_state != final_state::absent) {
        auto reply = *it.reply;
        if (reply.has_value()) {
            reply.value().replayed = true;
        }
        out.emplace_back(effect_action::answer_effect{id, std::move(reply)});
        return;
    }
    out.emplace_back(
        effect_action::answer_effect{id, duplicate_error("the first request is under way here")});
}

void effect_claims::on(effect_event::effect_ended& event, time_point now, outputs& out) {
    const auto found = entries_.find(event.id);
    if (found == entries_.end() || found->second.current_stage != stage::running) {
        return;
    }
    entry& it = found->second;
    switch (event.end) {
    case effect_end::answered:
        it.reply = effect_answer{event.body_json, false};
        it.claim.state = claim_state::done;
        if (event.body_json.size() <= settings_.max_outcome_bytes) {
            it.claim.outcome_json = std::move(event.body_json);
        }
        return store_final_state(it, final_state::done, now, out);
    case effect_end::not_run:
        ++counters_.not_run;
        event.failure.ran = run_state::no;
        it.reply = std::move(event.failure);
        return store_final_state(it, final_state::absent, now, out);
    case effect_end::unknown:
        ++counters_.unknown;
        it.claim.state = claim_state::unknown;
        it.claim.detail = event.failure.detail;
        it.reply = unknown_outcome_error("sent, and no answer came: " + event.failure.detail);
        return store_final_state(it, final_state::unknown, now, out);
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
    if (it.current_stage == stage::creating) {
        on_created(it, event.response, now, out);
    } else if (it.current_stage == stage::reading) {
        on_read(it, event.response, now, out);
    } else if (it.version.empty()) {
        on_final_read(it, event.response, now, out);
    } else {
        on_final_write(it, event.response, now, out);
    }
    if (const auto remaining = entries_.find(id); remaining != entries_.end()) {
        schedule(remaining->second);
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
        return end_undispatched(it, claim_not_stored(response.detail), now, out);
    }
    if (it.answered) {
        return end_undispatched(it, claim_not_stored(response.detail), now, out);
    }
    it.current_stage = stage::reading;
    read(it, out);
}

void effect_claims::on_read(entry& it, const platform_response& response, time_point now, outputs& out) {
    if (response.status == platform_status::ok && !response.objects.empty()) {
        return handle_stored_object(it, response.objects.front(), now, out);
    }
    if (response.status == platform_status::not_found) {
        if (it.conflicted) {
            return end_undispatched(it, duplicate_error("the key was released just now"), now, out);
        }
        return end_undispatched(it, claim_not_stored("not found when read back"), now, out);
    }
    back_off(it, now);
}

/// Handles the object that is stored under this request's claim name: this node's own claim or another one.
void effect_claims::handle_stored_object(entry& it, const platform_object& object, time_point now,
                                         outputs& out) {
    const auto claim = decode_claim(object.value_json);
    if (!claim) {
        return end_undispatched(it, unknown_outcome_error("the stored claim is not readable"), now, out);
    }
    if (claim->token == it.claim.token) {
        it.version = object.version;
        it.create_in_doubt = false;
        return dispatch(it, now, out);
    }
    if (claim->digest != it.claim.digest) {
        return end_undispatched(it, make_error(error_kind::key_reused, "the key was used with another body"),
                                now, out);
    }
    ++counters_.duplicates;
    answer_from(it, *claim, out);
    end_undispatched(it, duplicate_error("answered"), now, out);
}

/// Answers a repeat from the claim that an earlier arrival stored.
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
        return answer(it, unknown_outcome_error(claim.detail), out);
    }
    if (!is_holder_up(claim)) {
        return answer(it, unknown_outcome_error("the node that ran it has gone: " + claim.holder), out);
    }
    answer(it, duplicate_error("under way at " + claim.holder), out);
}

bool effect_claims::is_holder_up(const claim_record& claim) const {
    const auto same = [&](const member& it) {
        return it.node == claim.holder && it.incarnation == claim.incarnation;
    };
    return members_.empty() || std::any_of(members_.begin(), members_.end(), same);
}

/// Dispatches the request unless it is answered already or its deadline or dispatch window has passed.
void effect_claims::dispatch(entry& it, time_point now, outputs& out) {
    const bool late = now >= it.deadline || now - it.create_sent > settings_.dispatch_window;
    if (it.answered || late) {
        ++counters_.not_run;
        it.reply = error{error_kind::deadline_exceeded, "the claim came too late to dispatch", run_state::no};
        return store_final_state(it, final_state::absent, now, out);
    }
    ++counters_.dispatched;
    it.current_stage = stage::running;
    out.emplace_back(effect_action::run_effect{it.id, it.request, it.deadline});
}

/// Ends a request that this node did not dispatch. If the create's answer was lost, the claim that it may
/// have stored is removed in the background.
void effect_claims::end_undispatched(entry& it, error failure, time_point now, outputs& out) {
    if (!it.answered) {
        counters_.not_run += failure.ran == run_state::no ? 1 : 0;
        answer(it, std::move(failure), out);
    }
    if (!it.create_in_doubt) {
        return finish(it, out);
    }
    store_final_state(it, final_state::absent, now, out);
}

void effect_claims::store_final_state(entry& it, final_state target_state, time_point now, outputs& out) {
    it.current_stage = stage::storing_state;
    it.target_state = target_state;
    it.backoff = duration{};
    it.answer_deadline = std::min(it.deadline, now + settings_.outcome_store_timeout);
    if (target_state == final_state::absent) {
        entry_by_claim_name_.erase(it.address.name);
    }
    if (it.version.empty()) {
        read(it, out);
    } else {
        write_final_state(it, out);
    }
    schedule(it);
}

void effect_claims::on_final_write(entry& it, const platform_response& response, time_point now,
                                   outputs& out) {
    const bool gone = it.target_state == final_state::absent && response.status == platform_status::not_found;
    if (response.status == platform_status::ok || gone) {
        return finish(it, out);
    }
    it.version.clear();
    if (response.status == platform_status::conflict) {
        return read(it, out);
    }
    back_off(it, now);
}

void effect_claims::on_final_read(entry& it, const platform_response& response, time_point now,
                                  outputs& out) {
    if (response.status == platform_status::not_found) {
        const bool may_appear = it.create_in_doubt && now < it.create_sent + settings_.create_settle_time;
        return may_appear ? back_off(it, now) : finish(it, out);
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
    const bool stored = claim && it.target_state != final_state::absent && claim->state == it.claim.state;
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
    call(it, it.target_state == final_state::absent ? platform_method::remove : platform_method::update, out);
}

void effect_claims::back_off(entry& it, time_point now) {
    it.backoff = std::clamp(2 * it.backoff, settings_.initial_backoff, settings_.max_backoff);
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
    const auto name = entry_by_claim_name_.find(it.address.name);
    if (name != entry_by_claim_name_.end() && name->second == it.id) {
        entry_by_claim_name_.erase(name);
    }
    timers_.cancel(it.id);
    entries_.erase(it.id);
}

void effect_claims::schedule(const entry& it) {
    std::optional<time_point> when = it.retry_at;
    if (!it.answered && it.current_stage != stage::running && (!when || it.answer_deadline < *when)) {
        when = it.answer_deadline;
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
            handle_timer(found->second, now, out);
        }
    }
}

void effect_claims::handle_timer(entry& it, time_point now, outputs& out) {
    const auto id = it.id;
    if (!it.answered && now >= it.answer_deadline && it.reply) {
        answer(it, *it.reply, out);
    } else if (!it.answered && now >= it.answer_deadline && it.conflicted) {
        answer(it, unknown_outcome_error("the earlier claim could not be read"), out);
    } else if (!it.answered && now >= it.answer_deadline) {
        ++counters_.not_run;
        answer(it, claim_not_stored("no answer within the deadline"), out);
    }
    if (it.retry_at && now >= *it.retry_at) {
        if (it.current_stage == stage::reading && it.answered) {
            end_undispatched(it, claim_not_stored("read back too late"), now, out);
        } else {
            read(it, out);
        }
    }
    if (const auto remaining = entries_.find(id); remaining != entries_.end()) {
        schedule(remaining->second);
    }
}

} // namespace skylarkseam
