#include <skylarkseam/control/digest.hpp>
#include <skylarkseam/control/job_intake.hpp>

#include <algorithm>

namespace skylarkseam {

job_intake::job_intake(std::string self, std::uint64_t incarnation, job_intake_settings settings)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , settings_(settings) {}

void job_intake::handle(intake_input event, time_point now, std::vector<intake_output>& out) {
    std::visit([&](auto& it) { on(it, now, out); }, event);
}

job_intake::entry* job_intake::open_entry(intake_id id, operation_kind operation, time_point deadline,
                                          outputs& out) {
    if (entries_.size() >= settings_.max_open) {
        out.emplace_back(
            intake_answer{id, make_error(error_kind::overloaded, "too many jobs are being stored")});
        return nullptr;
    }
    entry& it = entries_[id];
    it.id = id;
    it.operation = operation;
    it.deadline = deadline;
    timers_.schedule(id, deadline);
    return &it;
}

void job_intake::on(intake_event::job_submitted& event, time_point /*now*/, outputs& out) {
    entry* it = open_entry(event.id, operation_kind::submit, event.deadline, out);
    if (it == nullptr) {
        return;
    }
    it->job.token = self_ + "/" + std::to_string(incarnation_) + "/" + std::to_string(++last_token_);
    it->job.id = job_id_of(event.request, it->job.token);
    it->job.digest = sha256_hex_of_fields({event.request.query_json, std::to_string(event.request.limit)});
    it->job.request = std::move(event.request);
    start_step(*it, step::creating, out);
}

void job_intake::on(intake_event::job_asked_for& event, time_point /*now*/, outputs& out) {
    if (entry* it = open_entry(event.id, operation_kind::find, event.deadline, out)) {
        it->job.id = std::move(event.job);
        it->caller = std::move(event.caller);
        start_step(*it, step::reading_live, out);
    }
}

void job_intake::on(intake_event::job_cancelled& event, time_point /*now*/, outputs& out) {
    if (entry* it = open_entry(event.id, operation_kind::cancel, event.deadline, out)) {
        it->job.id = std::move(event.job);
        it->by = std::move(event.by);
        start_step(*it, step::reading_live, out);
    }
}

void job_intake::start_step(entry& it, step next, outputs& out) {
    it.current_step = next;
    it.retry_at.reset();
    timers_.schedule(it.id, it.deadline);
    const bool live = next == step::creating || next == step::reading_live;
    const bool creates = next == step::creating || next == step::storing_cancellation;
    platform_request request;
    request.method = creates ? platform_method::create : platform_method::get;
    request.kind = live ? job_kind(bucket_of(it.job.id)) : result_kind(bucket_of(it.job.id));
    request.name = it.job.id;
    if (creates) {
        request.value_json = encode_job(it.job);
    }
    calls_[++last_call_] = it.id;
    out.emplace_back(platform_call{last_call_, std::move(request)});
}

void job_intake::on(platform_answer& event, time_point now, outputs& out) {
    const auto call = calls_.find(event.id);
    if (call == calls_.end()) {
        return;
    }
    const auto found = entries_.find(call->second);
    calls_.erase(call);
    if (found == entries_.end()) {
        return;
    }
    entry& it = found->second;
    switch (it.current_step) {
    case step::creating:
        return on_created(it, event.response, now, out);
    case step::storing_cancellation:
        return on_cancellation(it, event.response, now, out);
    case step::reading_live:
    case step::reading_result:
        return on_read(it, event.response, now, out);
    }
}

void job_intake::on_created(entry& it, const platform_response& response, time_point now, outputs& out) {
    if (response.status == platform_status::ok) {
        it.created = true;
        return it.job.request.idempotency_key.empty() ? answer(it, it.job, out)
                                                      : start_step(it, step::reading_result, out);
    }
    if (response.status == platform_status::conflict) {
        return start_step(it, step::reading_live, out);
    }
    if (response.status == platform_status::too_large) {
        return answer(it, make_error(error_kind::payload_too_large, "the job is too large to store"), out);
    }
    it.write_ambiguous = it.write_ambiguous || is_ambiguous(response);
    if (!it.write_ambiguous) {
        return answer(it, unconfirmed_error(it), out);
    }
    retry_later(it, now, out);
}

void job_intake::on_read(entry& it, const platform_response& response, time_point now, outputs& out) {
    if (response.status == platform_status::ok && !response.objects.empty()) {
        return handle_stored_job(it, response.objects.front(), out);
    }
    if (response.status != platform_status::not_found) {
        return retry_later(it, now, out);
    }
    if (it.current_step == step::reading_live) {
        return start_step(it, step::reading_result, out);
    }
    if (it.created) {
        return answer(it, it.job, out);
    }
    if (it.live) {
        return answer_submission(it, std::move(*it.live), out);
    }
    if (it.operation == operation_kind::submit) {
        return start_step(it, step::creating, out);
    }
    answer(it, make_error(error_kind::not_found, "no such job"), out);
}

void job_intake::handle_stored_job(entry& it, const platform_object& object, outputs& out) {
    auto stored = decode_job(object.value_json);
    if (!stored) {
        return answer(it, make_error(error_kind::internal, "the stored job is not readable"), out);
    }
    if (it.operation == operation_kind::submit && it.current_step == step::reading_live) {
        it.live = std::move(*stored);
        return start_step(it, step::reading_result, out);
    }
    if (it.operation == operation_kind::submit) {
        return answer_submission(it, std::move(*stored), out);
    }
    if (!it.caller.empty() && it.caller != stored->request.caller) {
        return answer(it, make_error(error_kind::not_found, "no such job"), out);
    }
    if (it.operation == operation_kind::find) {
        return answer(it, std::move(*stored), out);
    }
    const bool own_cancellation =
        it.write_ambiguous && stored->state == job_state::cancelled && stored->reason == it.job.reason;
    if (own_cancellation) {
        return answer(it, std::move(*stored), out);
    }
    if (it.current_step == step::reading_result) {
        const auto state = std::string(name_of(stored->state));
        return answer(it, make_error(error_kind::conflict, "the job has ended: " + state), out);
    }
    it.live_version = object.version;
    it.job = std::move(*stored);
    it.job.state = job_state::cancelled;
    it.job.reason = "cancelled by " + it.by;
    start_step(it, step::storing_cancellation, out);
}

/// Answers a submission from the job that is stored under its ID: the job of an earlier submission, or its
/// own if the create took effect although its answer was lost. A result takes precedence over a live object:
/// while a result exists, a live object of the same key is about to be removed.
void job_intake::answer_submission(entry& it, job_record stored, outputs& out) {
    if (stored.token != it.job.token && stored.digest != it.job.digest) {
        return answer(it, make_error(error_kind::key_reused, "the key was used with another body"), out);
    }
    answer(it, std::move(stored), out);
}

void job_intake::on_cancellation(entry& it, const platform_response& response, time_point now, outputs& out) {
    if (response.status == platform_status::ok) {
        remove_live(it, out);
        return answer(it, it.job, out);
    }
    if (response.status == platform_status::conflict) {
        return start_step(it, step::reading_result, out);
    }
    it.write_ambiguous = it.write_ambiguous || is_ambiguous(response);
    retry_later(it, now, out);
}

/// Removes the live object at once, so that a pending run is withdrawn. The answer does not matter, because
/// the job's holder removes the object otherwise.
void job_intake::remove_live(const entry& it, outputs& out) {
    platform_request request;
    request.method = platform_method::remove;
    request.kind = job_kind(bucket_of(it.job.id));
    request.name = it.job.id;
    request.version = it.live_version;
    out.emplace_back(platform_call{++last_call_, std::move(request)});
}

void job_intake::retry_later(entry& it, time_point now, outputs& out) {
    it.backoff = std::clamp(2 * it.backoff, settings_.initial_backoff, settings_.max_backoff);
    it.retry_at = now + it.backoff;
    if (*it.retry_at >= it.deadline) {
        return answer(it, unconfirmed_error(it), out);
    }
    timers_.schedule(it.id, *it.retry_at);
}

error job_intake::unconfirmed_error(const entry& it) {
    if (it.write_ambiguous) {
        return make_error(error_kind::outcome_unknown, "the platform did not say whether it was stored");
    }
    return make_error(error_kind::platform_unavailable, "the platform did not answer");
}

void job_intake::answer(const entry& it, result<job_record> reply, outputs& out) {
    const auto id = it.id;
    out.emplace_back(intake_answer{id, std::move(reply)});
    timers_.cancel(id);
    entries_.erase(id);
}

void job_intake::on(intake_event::time_passed& /*event*/, time_point now, outputs& out) {
    for (const auto id : timers_.take_due(now)) {
        entry& it = entries_.at(id);
        if (it.retry_at) {
            start_step(it, it.current_step, out);
            continue;
        }
        const bool changes =
            it.current_step == step::creating || it.current_step == step::storing_cancellation;
        it.write_ambiguous = it.write_ambiguous || changes; // the pending call may still take effect
        answer(it, unconfirmed_error(it), out);
    }
}

} // namespace skylarkseam
