// Operators' commands for deferrable jobs: list, show and cancel.
#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/platform_session.hpp>
#include <skylarkseam/cli/sub_command.hpp>
#include <skylarkseam/control/job_intake.hpp>
#include <skylarkseam/shell/job_runner.hpp>

#include <iostream>

namespace skylarkseam {
namespace {

constexpr duration intake_timeout = seconds(10);

void print_summary(const job_record& job) {
    std::cout << job.id << ' ' << name_of(job.state) << ' ' << job.request.caller << ' '
              << job.request.service << " attempts=" << job.attempts
              << " holder=" << (job.holder.empty() ? "-" : job.holder);
    if (!job.reason.empty()) {
        std::cout << " reason=" << job.reason;
    }
    std::cout << '\n';
}

/// Prints the jobs stored under one object kind. An empty `state` selects all jobs.
/// \return false if the platform did not return the list; the error has been printed
bool print_jobs(platform_session& platform, const std::string& object_kind, const std::string& state) {
    const auto listed = platform.list(object_kind);
    if (listed.status != platform_status::ok) {
        std::cerr << object_kind << ": " << describe(listed) << '\n';
        return false;
    }
    for (const auto& it : listed.objects) {
        const auto job = decode_job(it.value_json);
        if (!job) {
            std::cout << it.name << " is not a valid job record\n";
        } else if (state.empty() || name_of(job->state) == state) {
            print_summary(*job);
        }
    }
    return true;
}

exit_code list_jobs(const arguments& args) {
    command_line line("skylarkseam jobs list",
                      "Lists jobs, including ended jobs that have not been retired yet.");
    line.add_required_option("platform", "URL of the platform");
    line.add_option("state", "list only jobs in this state: queued, running, done, failed or cancelled");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    if (!line.value("state").empty() && !find_job_state(line.value("state"))) {
        std::cerr << "unknown state: " << line.value("state") << '\n';
        return exit_code::usage_error;
    }
    platform_session platform(line.value("platform"));
    bool complete = true;
    for (unsigned bucket = 0; bucket < job_bucket_count; ++bucket) {
        complete = print_jobs(platform, job_kind(bucket), line.value("state")) && complete;
        complete = print_jobs(platform, result_kind(bucket), line.value("state")) && complete;
    }
    return complete ? exit_code::success : exit_code::failure;
}

/// Passes one event to a job intake and makes the platform calls that the intake requests, until it answers.
result<job_record> run_intake(platform_session& platform, intake_input event) {
    job_intake intake("operator", 1);
    std::vector<intake_output> out;
    intake.handle(std::move(event), time_point{}, out);
    std::optional<result<job_record>> answer;
    for (std::size_t it = 0; it < out.size(); ++it) {
        if (const auto* call = std::get_if<platform_call>(&out[it])) {
            const platform_answer reply{call->id, platform.call(call->request)};
            // The intake's clock stands at zero, so its retry backoff never ends: a failed call is not
            // retried.
            intake.handle(reply, time_point{}, out);
        } else {
            answer = std::get<intake_answer>(out[it]).answer;
        }
    }
    if (!answer) {
        intake.handle(intake_event::time_passed{}, time_point{} + intake_timeout, out);
        answer = make_error(error_kind::outcome_unknown, "the platform did not answer");
    }
    return *answer;
}

exit_code print_answer(const result<job_record>& answer, bool with_result) {
    if (!answer) {
        std::cerr << answer.error().detail << '\n';
        return answer.error().kind == error_kind::outcome_unknown ? exit_code::outcome_unknown
                                                                  : exit_code::failure;
    }
    if (with_result) {
        std::cout << encode_job_status(answer.value()) << '\n';
    } else {
        print_summary(answer.value());
    }
    return exit_code::success;
}

exit_code show_job(const arguments& args) {
    command_line line("skylarkseam jobs show", "Prints one job as JSON, with its answer if it has one.");
    line.add_required_option("platform", "URL of the platform");
    line.add_required_option("job", "id of the job");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    platform_session platform(line.value("platform"));
    return print_answer(
        run_intake(platform,
                   intake_event::job_asked_for{1, line.value("job"), {}, time_point{} + intake_timeout}),
        true);
}

exit_code cancel_job(const arguments& args) {
    command_line line("skylarkseam jobs cancel", "Cancels a job that has not ended yet.");
    line.add_required_option("platform", "URL of the platform");
    line.add_required_option("job", "id of the job");
    line.add_required_option("by", "name of the operator who cancels the job; it is stored");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    platform_session platform(line.value("platform"));
    return print_answer(
        run_intake(platform, intake_event::job_cancelled{1, line.value("job"), line.value("by"),
                                                         time_point{} + intake_timeout}),
        false);
}

} // namespace

exit_code jobs_command(const arguments& args) {
    return run_sub_command("jobs",
                           {{"list", "list jobs", &list_jobs},
                            {"show", "print one job with its answer", &show_job},
                            {"cancel", "cancel one job", &cancel_job}},
                           args);
}

} // namespace skylarkseam
