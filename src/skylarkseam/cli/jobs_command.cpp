// The operators' view of deferrable jobs: list, inspect and cancel them.
#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/platform_session.hpp>
#include <skylarkseam/cli/sub_command.hpp>
#include <skylarkseam/control/job_intake.hpp>
#include <skylarkseam/shell/job_runner.hpp>

#include <iostream>

namespace skylarkseam {
namespace {

constexpr duration patience = seconds(10);

void print_line(const job_record& job) {
    std::cout << job.id << ' ' << name_of(job.state) << ' ' << job.request.caller << ' '
              << job.request.service << " attempts=" << job.attempts
              << " holder=" << (job.holder.empty() ? "-" : job.holder);
    if (!job.reason.empty()) {
        std::cout << " reason=" << job.reason;
    }
    std::cout << '\n';
}

/// Prints the jobs of one kind of object; false where the platform did not answer.
bool print_bucket(platform_session& platform, const std::string& kind, const std::string& state) {
    const auto listed = platform.list(kind);
    if (listed.status != platform_status::ok) {
        std::cerr << kind << ": " << describe(listed) << '\n';
        return false;
    }
    for (const auto& it : listed.objects) {
        const auto job = decode_job(it.value_json);
        if (!job) {
            std::cout << it.name << " is not readable\n";
        } else if (state.empty() || name_of(job->state) == state) {
            print_line(*job);
        }
    }
    return true;
}

exit_code list_jobs(const arguments& args) {
    command_line line("skylarkseam jobs list",
                      "Lists jobs; those that have ended too, until they are retired.");
    line.add_required("platform", "the platform's URL");
    line.add("state", "only queued, running, done, failed or cancelled ones");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    if (!line.value("state").empty() && !find_job_state(line.value("state"))) {
        std::cerr << "no such state: " << line.value("state") << '\n';
        return exit_code::usage;
    }
    platform_session platform(line.value("platform"));
    bool complete = true;
    for (unsigned bucket = 0; bucket < job_bucket_count; ++bucket) {
        complete = print_bucket(platform, job_kind(bucket), line.value("state")) && complete;
        complete = print_bucket(platform, result_kind(bucket), line.value("state")) && complete;
    }
    return complete ? exit_code::done : exit_code::refused;
}

/// Feeds one event to the intake and makes its calls until it answers.
result<job_record> ask_intake(platform_session& platform, intake_input event) {
    job_intake intake("operator", 1);
    std::vector<intake_output> out;
    intake.handle(std::move(event), time_point{}, out);
    std::optional<result<job_record>> answer;
    for (std::size_t it = 0; it < out.size(); ++it) {
        if (const auto* call = std::get_if<platform_call>(&out[it])) {
            const platform_answer reply{call->id, platform.call(call->request)};
            // No time passes for the intake: a call that fails here is not tried again.
            intake.handle(reply, time_point{}, out);
        } else {
            answer = std::get<intake_answer>(out[it]).answer;
        }
    }
    if (!answer) {
        intake.handle(intake_event::time_passed{}, time_point{} + patience, out);
        answer = make_error(error_kind::outcome_unknown, "the platform did not answer");
    }
    return *answer;
}

exit_code print_answer(const result<job_record>& answer, bool whole) {
    if (!answer) {
        std::cerr << answer.error().detail << '\n';
        return answer.error().kind == error_kind::outcome_unknown ? exit_code::unknown : exit_code::refused;
    }
    if (whole) {
        std::cout << encode_job_status(answer.value()) << '\n';
    } else {
        print_line(answer.value());
    }
    return exit_code::done;
}

exit_code show_job(const arguments& args) {
    command_line line("skylarkseam jobs show", "Shows one job, with its answer where it has one, as JSON.");
    line.add_required("platform", "the platform's URL");
    line.add_required("job", "the job's id");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    platform_session platform(line.value("platform"));
    return print_answer(
        ask_intake(platform, intake_event::job_asked_for{1, line.value("job"), {}, time_point{} + patience}),
        true);
}

exit_code cancel_job(const arguments& args) {
    command_line line("skylarkseam jobs cancel", "Cancels a job that has not ended.");
    line.add_required("platform", "the platform's URL");
    line.add_required("job", "the job's id");
    line.add_required("by", "who cancels it, for the record");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    platform_session platform(line.value("platform"));
    return print_answer(
        ask_intake(platform, intake_event::job_cancelled{1, line.value("job"), line.value("by"),
                                                         time_point{} + patience}),
        false);
}

} // namespace

exit_code jobs_command(const arguments& args) {
    return run_sub_command("jobs",
                           {{"list", "list jobs", &list_jobs},
                            {"show", "show one job", &show_job},
                            {"cancel", "cancel one job", &cancel_job}},
                           args);
}

} // namespace skylarkseam
