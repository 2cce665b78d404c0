#include <skylarkseam/control/job_scheduler.hpp>
#include <skylarkseam/control/singleton_task.hpp>
#include <skylarkseam/control/version_clock.hpp>

#include <algorithm>
#include <utility>

namespace skylarkseam {

job_scheduler::job_scheduler(std::string self, std::uint64_t incarnation, job_settings settings)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , settings_(settings) {}

void job_scheduler::handle(job_input event, time_point now, std::vector<job_output>& out) {
    std::visit([&](auto& it) { on(it, now, out); }, event);
    start_runs(now, out);
    call_buckets(now, out);
}

void job_scheduler::set_members(const std::vector<member>& members) {
    for (unsigned bucket = 0; bucket < job_bucket_count; ++bucket) {
        const auto kind = job_kind(bucket);
        if (singleton_task_owner(members, kind) == self_) {
            buckets_.try_emplace(kind, kind, settings_.buckets);
        } else {
            buckets_.erase(kind);
        }
    }
    std::erase_if(known_, [&](const auto& it) {
        const bool gone = !buckets_.contains(job_kind(bucket_of(it.first)));
        if (gone) {
            queue_.remove(it.first);
        }
        return gone;
    });
}

std::optional<time_point> job_scheduler::next_wakeup() const {
    auto next = timers_.next();
    const auto consider = [&](std::optional<time_point> when) {
        if (when && (!next || *when < *next)) {
            next = when;
        }
    };
    for (const auto& [kind, it] : buckets_) {
        consider(it.next_wakeup());
    }
    if (!draining_ && runs_.size() < settings_.concurrency) {
        consider(queue_.next_wakeup());
    }
    return next;
}

void job_scheduler::call_buckets(time_point now, outputs& out) {
    for (auto& [kind, it] : buckets_) {
        if (auto request = it.next_call(now)) {
            bucket_calls_[++last_call_] = kind;
            out.emplace_back(platform_call{last_call_, std::move(*request)});
        }
    }
}

void job_scheduler::on(platform_answer& event, time_point now, outputs& out) {
    if (const auto call = bucket_calls_.find(event.id); call != bucket_calls_.end()) {
        const auto bucket = buckets_.find(call->second);
        bucket_calls_.erase(call);
        if (bucket == buckets_.end()) {
            return;
        }
        std::vector<bucket_change> changes;
        bucket->second.handle(event.response, now, changes);
        for (const auto& it : changes) {
            apply_change(it, now, out);
        }
        return;
    }
    if (const auto call = run_calls_.find(event.id); call != run_calls_.end()) {
        const auto found = runs_.find(call->second);
        run_calls_.erase(call);
        found->second.calling = false;
        on_answer(found->second, event.response, now, out);
    }
}

void job_scheduler::apply_change(const bucket_change& change, time_point now, outputs& out) {
    const auto active_run = runs_.find(change.name);
    if (change.deleted) {
        known_.erase(change.name);
        queue_.remove(change.name);
        if (active_run != runs_.end() && active_run->second.current_step == step::running &&
            !active_run->second.calling) {
            reread(active_run->second, out);
        }
        return;
    }
    auto job = decode_job(change.value_json);
    if (!job || job->id != change.name) {
        ++counters_.unreadable;
        return;
    }
    known_[change.name] = {std::move(*job), change.version};
    if (active_run == runs_.end()) {
        enqueue(change.name, now, now);
    }
}

/// Queues a known job for the time at which it may run: a queued job after its backoff, a leased job after a
/// full lease time without a change. Both times count from when this node first saw the record.
void job_scheduler::enqueue(const std::string& id, time_point now, time_point earliest) {
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return;
    }
    const auto& [job, version] = found->second;
    const auto wait = job.state == job_state::running ? settings_.lease : backoff_after(job.fence);
    queue_.add(id, job.request.caller, version_number(version), std::max(now + wait, earliest));
}

duration job_scheduler::backoff_after(std::uint64_t leases) const {
    if (leases == 0) {
        return duration{};
    }
    constexpr std::uint64_t max_doublings = 20;
    const auto doublings = std::min(leases - 1, max_doublings);
    return std::min(settings_.initial_backoff * (1 << doublings), settings_.max_backoff);
}

void job_scheduler::start_runs(time_point now, outputs& out) {
    while (!draining_ && runs_.size() < settings_.concurrency) {
        const auto id = queue_.pop_ready(now);
        if (!id) {
            return;
        }
        acquire_lease(*id, out);
    }
}

void job_scheduler::acquire_lease(const std::string& id, outputs& out) {
    const auto& [job, version] = known_.at(id);
    run& it = runs_[id];
    it.job = job;
    it.version = version;
    counters_.taken_over += job.state == job_state::running ? 1 : 0;
    it.job.state = job_state::running;
    ++it.job.fence;
    ++it.job.attempts;
    it.previous_holder = std::exchange(it.job.holder, self_);
    it.job.incarnation = incarnation_;
    start_step(it, step::acquiring_lease, out);
}

void job_scheduler::start_step(run& it, step next, outputs& out) {
    it.current_step = next;
    repeat_step(it, out);
}

void job_scheduler::repeat_step(run& it, outputs& out) {
    const auto bucket = bucket_of(it.job.id);
    it.rereading = false;
    timers_.cancel(it.job.id);
    switch (it.current_step) {
    case step::acquiring_lease:
    case step::running:
    case step::requeueing:
        return call(it, platform_method::update, job_kind(bucket), out);
    case step::checking_result:
        return call(it, platform_method::get, result_kind(bucket), out);
    case step::committing:
        return call(it, platform_method::create, result_kind(bucket), out);
    case step::removing:
        return call(it, platform_method::remove, job_kind(bucket), out);
    }
}

void job_scheduler::call(run& it, platform_method method, const std::string& kind, outputs& out) {
    platform_request request;
    request.method = method;
    request.kind = kind;
    request.name = it.job.id;
    if (method == platform_method::update || method == platform_method::remove) {
        request.version = it.version;
    }
    if (method == platform_method::update || method == platform_method::create) {
        request.value_json = encode_job(it.job);
    }
    it.calling = true;
    run_calls_[++last_call_] = it.job.id;
    out.emplace_back(platform_call{last_call_, std::move(request)});
}

void job_scheduler::reread(run& it, outputs& out) {
    it.rereading = true;
    timers_.cancel(it.job.id);
    call(it, platform_method::get, job_kind(bucket_of(it.job.id)), out);
}

void job_scheduler::schedule_retry(run& it, time_point now) {
    timers_.schedule(it.job.id, now + settings_.call_retry_delay);
}

void job_scheduler::on_answer(run& it, const platform_response& response, time_point now, outputs& out) {
    if (it.rereading) {
        return on_reread(it, response, now, out);
    }
    switch (it.current_step) {
    case step::acquiring_lease:
    case step::running:
        return on_lease_written(it, response, now, out);
    case step::checking_result:
        return on_result_checked(it, response, now, out);
    case step::committing:
        return on_committed(it, response, now, out);
    case step::requeueing:
    case step::removing:
        return on_released(it, response, now, out);
    }
}

void job_scheduler::on_lease_written(run& it, const platform_response& response, time_point now,
                                     outputs& out) {
    if (response.status != platform_status::ok || response.objects.empty()) {
        const bool changed_nothing = response.not_sent || response.status == platform_status::throttled;
        return changed_nothing && it.current_step == step::acquiring_lease ? abandon_run(it, now, out)
                                                                           : reread(it, out);
    }
    it.version = response.objects.front().version;
    if (it.current_step == step::acquiring_lease) {
        return start_step(it, step::checking_result, out);
    }
    timers_.schedule(it.job.id, now + settings_.lease / 3);
    if (it.pending_end) {
        end_run(it, *it.pending_end, out);
    }
}

/// Decides by the live object whether this node still holds a lease whose write had no definite answer.
void job_scheduler::on_reread(run& it, const platform_response& response, time_point now, outputs& out) {
    const bool gone = response.status == platform_status::not_found;
    if (!gone && (response.status != platform_status::ok || response.objects.empty())) {
        return schedule_retry(it, now);
    }
    const auto job = gone ? std::nullopt : decode_job(response.objects.front().value_json);
    const bool held_here = job && job->fence == it.job.fence && job->holder == self_ &&
                           job->incarnation == incarnation_ && job->state == job_state::running;
    if (!held_here) {
        return abandon_run(it, now, out);
    }
    it.rereading = false;
    it.version = response.objects.front().version;
    if (it.current_step == step::acquiring_lease) {
        return start_step(it, step::checking_result, out);
    }
    if (it.current_step == step::running && it.pending_end) {
        return end_run(it, *it.pending_end, out);
    }
    repeat_step(it, out);
}

void job_scheduler::on_result_checked(run& it, const platform_response& response, time_point now,
                                      outputs& out) {
    if (response.status == platform_status::ok) {
        return start_step(it, step::removing, out);
    }
    if (response.status != platform_status::not_found) {
        return schedule_retry(it, now);
    }
    if (it.job.attempts > settings_.max_attempts) {
        ++counters_.parked;
        it.job.state = job_state::failed;
        it.job.reason = "its holders ended without a word, the last one " + it.previous_holder;
        return start_step(it, step::committing, out);
    }
    it.current_step = step::running;
    ++counters_.runs;
    timers_.schedule(it.job.id, now + settings_.lease / 3);
    out.emplace_back(job_action::run_job{it.job.id, it.job.fence, it.job.request, now + settings_.run_time});
}

void job_scheduler::on(job_event::run_ended& event, time_point /*now*/, outputs& out) {
    const auto found = runs_.find(event.job);
    if (found == runs_.end() || found->second.job.fence != event.fence ||
        found->second.current_step != step::running || found->second.pending_end) {
        return;
    }
    run& it = found->second;
    if (it.calling || it.rereading) {
        it.pending_end = std::move(event);
        return;
    }
    end_run(it, event, out);
}

void job_scheduler::end_run(run& it, job_event::run_ended& event, outputs& out) {
    it.job.reason = std::move(event.reason);
    const bool fits = event.answer_json.size() <= settings_.max_answer_bytes;
    if (event.end == job_run_end::answered && fits) {
        ++counters_.done;
        it.job.state = job_state::done;
        it.job.answer_json = std::move(event.answer_json);
        return start_step(it, step::committing, out);
    }
    if (event.end == job_run_end::answered) {
        it.job.reason =
            "its answer is too large to store: " + std::to_string(event.answer_json.size()) + " bytes";
    }
    const bool again = event.end == job_run_end::not_run || event.end == job_run_end::failed;
    if (!again || (event.end == job_run_end::failed && it.job.attempts >= settings_.max_attempts)) {
        ++counters_.parked;
        it.job.state = job_state::failed;
        return start_step(it, step::committing, out);
    }
    ++counters_.requeued;
    it.job.attempts -= event.end == job_run_end::not_run ? 1 : 0;
    it.job.state = job_state::queued;
    start_step(it, step::requeueing, out);
}

void job_scheduler::on_committed(run& it, const platform_response& response, time_point now, outputs& out) {
    const bool stored =
        response.status == platform_status::ok || response.status == platform_status::conflict;
    if (stored) {
        return start_step(it, step::removing, out);
    }
    schedule_retry(it, now);
}

void job_scheduler::on_released(run& it, const platform_response& response, time_point now, outputs& out) {
    if (response.status == platform_status::ok || response.status == platform_status::not_found) {
        if (it.current_step == step::removing) {
            known_.erase(it.job.id);
        }
        return abandon_run(it, now, out);
    }
    if (response.status == platform_status::conflict) {
        return reread(it, out);
    }
    schedule_retry(it, now);
}

/// Ends this node's run of a job. The job is queued again when its record changes, or after a lease time.
void job_scheduler::abandon_run(run& it, time_point now, outputs& out) {
    const auto id = it.job.id;
    if (it.current_step == step::running) {
        ++counters_.lost_leases;
        out.emplace_back(job_action::withdraw_job{id});
    }
    timers_.cancel(id);
    runs_.erase(id);
    enqueue(id, now, now + 2 * settings_.buckets.watch_interval);
}

void job_scheduler::on(job_event::time_passed& /*event*/, time_point now, outputs& out) {
    for (const auto& id : timers_.take_due(now)) {
        run& it = runs_.at(id);
        if (it.calling) {
            continue;
        }
        if (it.rereading) {
            reread(it, out);
        } else {
            repeat_step(it, out);
        }
    }
}

} // namespace skylarkseam
