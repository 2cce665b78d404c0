#include <skylarkseam/shell/job_runner.hpp>

#include <nlohmann/json.hpp>

namespace skylarkseam {
namespace {

constexpr duration intake_deadline = seconds(5);

/// What a failure of a job's request means for the job.
job_run_end end_of(const error& failure) {
    switch (failure.kind) {
    case error_kind::bad_request:
    case error_kind::key_reused:
    case error_kind::outcome_unknown:
        return job_run_end::permanent_failure;
    case error_kind::duplicate_under_way: // its claim is still open: asked again later
        return job_run_end::not_run;
    default:
        break;
    }
    const bool refused = failure.ran == run_state::no && answer_for(failure.kind).retry_after_s > 0;
    return refused ? job_run_end::not_run : job_run_end::failed;
}

} // namespace

job_runner::job_runner(event_loop& loop, platform_client& platform, const std::string& node,
                       std::uint64_t incarnation, request_runner run)
    : loop_(loop)
    , run_(std::move(run))
    , intake_(node, incarnation)
    , scheduler_(node, incarnation)
    , intake_runner_(loop, platform, intake_, [this](intake_output& output) { perform(output); })
    , scheduler_runner_(loop, platform, scheduler_, [this](job_output& output) { perform(output); }) {}

void job_runner::submit(query_request request, job_sink done) {
    waiting_[++last_id_] = std::move(done);
    intake_runner_.feed(
        intake_event::job_submitted{last_id_, std::move(request), loop_.now() + intake_deadline});
}

void job_runner::find(const std::string& job, const std::string& caller, job_sink done) {
    waiting_[++last_id_] = std::move(done);
    intake_runner_.feed(intake_event::job_asked_for{last_id_, job, caller, loop_.now() + intake_deadline});
}

void job_runner::set_members(const std::vector<member>& members) {
    scheduler_.set_members(members);
    scheduler_runner_.wake();
}

void job_runner::perform(intake_output& output) {
    auto& answer = std::get<intake_answer>(output);
    auto found = waiting_.extract(answer.id);
    if (!found.empty()) {
        found.mapped()(std::move(answer.answer));
    }
}

/// A withdrawn run goes on in the coordinator until its deadline; its end is then ignored.
void job_runner::perform(job_output& output) {
    const auto* run = std::get_if<job_action::run_job>(&output);
    if (run == nullptr) {
        return;
    }
    auto request = run->request;
    request.deadline = run->deadline - loop_.now();
    run_(std::move(request), [this, job = run->job, fence = run->fence](const result<std::string>& body) {
        job_event::run_ended event{job, fence, job_run_end::answered, {}, {}};
        if (body) {
            event.answer_json = body.value();
        } else {
            event.end = end_of(body.error());
            event.reason = std::string(name_of(body.error().kind)) + ": " + body.error().detail;
        }
        loop_.post([this, event = std::move(event)] { scheduler_runner_.feed(event); });
    });
}

std::string job_runner::state_json() const {
    const auto& counts = scheduler_.counters();
    return nlohmann::json{
        {"backlog", scheduler_.backlog()},
        {"running", scheduler_.running()},
        {"being_stored", intake_.open()},
        {"runs", counts.runs},
        {"done", counts.done},
        {"requeued", counts.requeued},
        {"parked", counts.parked},
        {"taken_over", counts.taken_over},
        {"lost_leases", counts.lost_leases},
        {"unreadable", counts.unreadable},
    }
        .dump();
}

std::string encode_job_status(const job_record& job) {
    nlohmann::ordered_json body{{"job", job.id},
                                {"state", name_of(job.state)},
                                {"service", job.request.service},
                                {"attempts", job.attempts},
                                {"reason", job.reason}};
    if (job.state == job_state::done) {
        body["answer"] = nlohmann::ordered_json::parse(job.answer_json, nullptr, false);
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace skylarkseam
