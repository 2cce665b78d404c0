// What must last, of one node: routes each request through its claim, into a job, or straight to the
// coordinator, and writes the ledger.
#pragma once

#include <skylarkseam/control/retirement.hpp>
#include <skylarkseam/shell/admin_service.hpp>
#include <skylarkseam/shell/caller_service.hpp>
#include <skylarkseam/shell/effect_runner.hpp>
#include <skylarkseam/shell/job_runner.hpp>
#include <skylarkseam/shell/ledger_runner.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkseam {

class durable_services {
public:
    using configuration_source = std::function<std::shared_ptr<const configuration>()>;

    durable_services(event_loop& loop, platform_client& platform, peer_client& peers, query_runner& queries,
                     configuration_source config, const std::string& node, std::uint64_t incarnation);

    void serve(peer_server& server) { ledger_.serve(server); }
    void add_sections(admin_service& admin);
    /// Fills in how requests are answered.
    void add_handlers(caller_handlers& handlers);
    void set_members(const std::vector<member>& members);

    /// Takes no further job; the rest goes on.
    void drain() { jobs_.drain(); }
    /// Whether claims are settled and no job runs here.
    [[nodiscard]] bool is_idle() const { return effects_.unsettled() == 0 && jobs_.running() == 0; }
    /// Closes the ledger; called once, when nothing is open any more.
    void close() { ledger_.close(); }
    /// Ledger records that are not yet known to be stored.
    [[nodiscard]] std::uint64_t ledger_backlog() const { return ledger_.backlog(); }

private:
    using outcome_sink = std::function<void(request_outcome)>;

    void start(query_request request, outcome_sink done);
    void start_effect(query_request request, std::uint64_t arrival, duration deadline, outcome_sink done);
    void start_job(query_request request, std::uint64_t arrival, outcome_sink done);
    void start_query(query_request request, std::uint64_t arrival, outcome_sink done);
    void run_job(query_request request, std::function<void(result<std::string>)> done);
    request_outcome refused(const query_request& request, std::uint64_t arrival, const error& fault);
    void pass_time_of_retirement();
    void call_for_retirement(const std::vector<platform_call>& calls);

    event_loop& loop_;
    platform_client& platform_;
    query_runner& queries_;
    configuration_source config_;
    ledger_runner ledger_;
    effect_runner effects_;
    job_runner jobs_;
    retirement retirement_;
    wakeup_timer retirement_timer_;
};

} // namespace skylarkseam
