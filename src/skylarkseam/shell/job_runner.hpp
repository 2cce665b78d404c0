// Takes deferrable jobs in and runs those of this node's buckets.
#pragma once

#include <skylarkseam/control/job_intake.hpp>
#include <skylarkseam/control/job_scheduler.hpp>
#include <skylarkseam/shell/machine_runner.hpp>

#include <functional>
#include <string>
#include <unordered_map>

namespace skylarkseam {

class job_runner {
public:
    using job_sink = std::function<void(result<job_record>)>;
    /// Runs a job's request as any other; `done` gets the body of its answer, and is called exactly once.
    using request_runner =
        std::function<void(query_request request, std::function<void(result<std::string>)> done)>;

    job_runner(event_loop& loop, platform_client& platform, const std::string& node,
               std::uint64_t incarnation, request_runner run);

    void submit(query_request request, job_sink done);
    void find(const std::string& job, const std::string& caller, job_sink done);

    void set_members(const std::vector<member>& members);

    /// Takes no further job to run; those under way end.
    void drain() { scheduler_.drain(); }
    [[nodiscard]] std::size_t running() const { return scheduler_.running(); }
    [[nodiscard]] std::string state_json() const;

private:
    void perform(intake_output& output);
    void perform(job_output& output);

    event_loop& loop_;
    request_runner run_;
    job_intake intake_;
    job_scheduler scheduler_;
    machine_runner<job_intake, intake_input, intake_output> intake_runner_;
    machine_runner<job_scheduler, job_input, job_output> scheduler_runner_;
    std::unordered_map<intake_id, job_sink> waiting_;
    intake_id last_id_ = 0;
};

/// The body of GET /v1/jobs/{id}.
[[nodiscard]] std::string encode_job_status(const job_record& job);

} // namespace skylarkseam
