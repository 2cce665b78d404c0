// The decisions of a gateway: takes events with the time at which they happened, and returns actions. Routes
// each request, places its parts, sends again what is stuck, and decides when and with what it is answered.
#pragma once

#include <skylarkseam/core/timer_heap.hpp>
#include <skylarkseam/gateway/directory.hpp>
#include <skylarkseam/gateway/extra_budget.hpp>
#include <skylarkseam/gateway/placement.hpp>
#include <skylarkseam/gateway/request_run.hpp>
#include <skylarkseam/gateway/traffic_split.hpp>
#include <skylarkseam/gateway/wait_list.hpp>

#include <unordered_map>

namespace skylarkseam {

struct gateway_options {
    placement_view view;
    directory_timing timing;
    extra_budget_limits extra; ///< of each service, over all hosts
    std::uint64_t seed = 1;
};

/// Counts since the start.
struct gateway_counters {
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;   ///< answered with a searcher's answer or with all parts
    std::uint64_t partial = 0; ///< answered with some parts
    std::uint64_t refused = 0;
    std::uint64_t attempts = 0;
    std::uint64_t extra_attempts = 0;
    std::uint64_t extra_denied = 0; ///< the budget had nothing left
    std::uint64_t cancelled = 0;    ///< attempts that were given up
};

/// Invariants: each request gets exactly one answer unless its client leaves; one that is answered as not run
/// was never sent, or every searcher that it was sent to said that it did not run it; a request that must not
/// run twice has at most one attempt that may have run.
class gateway {
public:
    explicit gateway(gateway_options options);

    using output = std::vector<gateway_output>;

    /// Takes a configuration; one that is not newer than the one in force is ignored, and false is returned.
    bool set_table(std::shared_ptr<const routing_table> table, time_point now, output& out);
    [[nodiscard]] const std::shared_ptr<const routing_table>& table() const { return table_; }

    /// The hosts that share the searchers' connections and the budgets.
    void set_hosts(const host_shares& hosts) { hosts_ = hosts; }
    [[nodiscard]] const host_shares& hosts() const { return hosts_; }
    void set_extra_budget(const extra_budget_limits& limits) { options_.extra = limits; }

    [[nodiscard]] directory& searchers() { return searchers_; }
    [[nodiscard]] const directory& searchers() const { return searchers_; }
    /// All registrations are known once; before, requests wait for a moment and are refused then.
    void set_listing_complete(time_point now, output& out);
    /// To be called after searchers() was changed: what waited may be sent now.
    void on_searchers_changed(time_point now, output& out);

    void handle(gateway_input event, time_point now, output& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t open_requests() const { return runs_.size(); }
    [[nodiscard]] const gateway_counters& counters() const { return counters_; }

private:
    struct attempt {
        request_token token = 0; ///< 0: nobody waits for it any more, it only tests a searcher
        std::size_t part = 0;
        known_searcher_ptr target;
        std::string route;
        time_point sent{};
        duration usual{};
        duration in_time{};   ///< latency from which on its searcher has too much to do
        time_point give_up{}; ///< of one that nobody waits for
    };
    using run_ptr = std::shared_ptr<request_run>;

    [[nodiscard]] bool knows_enough() const { return complete_ && table_->version > 0; }
    void arrive(const gateway_request& request, time_point now, output& out);
    void start_run(const gateway_request& request, const gateway_route& route, time_point now, output& out);
    void refuse(const gateway_request& request, refusal_reason reason, time_point now, output& out);
    void release_early(time_point now, output& out);
    void leave(request_token token, time_point now, output& out);
    /// Whether a byte of an attempt may have left this host.
    void note_sent(attempt_id id, bool sent);
    void end_attempt(attempt_id id, attempt_result result, time_point now, output& out);
    void on_time(time_point now, output& out);

    void make_parts(request_run& run, time_point now);
    /// Places a part, lets it wait, or fails it.
    void place(const run_ptr& run, std::size_t part, bool extra, time_point now, output& out);
    void take_choice(const run_ptr& run, std::size_t part, const placement_choice& choice, bool extra,
                     time_point now, output& out);
    /// Sends the parts of a request of which nothing was sent yet, if enough of them have room; else holds
    /// it, or fails it.
    void place_all(const run_ptr& run, time_point now, output& out);
    /// Lets a request wait until one of the services that have no room has some.
    void hold(const run_ptr& run, const std::vector<placement_choice>& choices, time_point now);
    void send(const run_ptr& run, std::size_t part, const placement_choice& choice, time_point now,
              output& out);
    void send_again(const run_ptr& run, std::size_t part, time_point now, output& out);
    void take_result(const run_ptr& run, std::size_t part, attempt_result& result, time_point now,
                     output& out);
    void retry_or_fail(const run_ptr& run, std::size_t part, refusal_reason reason, time_point now,
                       output& out);
    /// Sends refused parts again where that can still make the query a success, else fails them.
    void settle_refused(const run_ptr& run, time_point now, output& out);
    [[nodiscard]] bool extra_is_scarce(const std::string& service, time_point now);
    void note_result(attempt& ended, const attempt_result& result, time_point now, output& out);

    /// Answers the run if it is complete or its time has come.
    void check(const run_ptr& run, time_point now, output& out);
    void finish(const run_ptr& run, any_answer value, time_point now, output& out);
    [[nodiscard]] any_answer failure_of(const request_run& run, refusal_reason reason);
    void withdraw(request_run& run, time_point now, output& out);
    void withdraw_part(request_part& part, bool keep_probes, time_point now, output& out);
    void pump(const std::string& service, time_point now, output& out);
    [[nodiscard]] placement_request request_for(const request_run& run, const request_part& part,
                                                time_point now);
    /// Latency of a route's requests at a searcher.
    [[nodiscard]] latency_estimate& usual_of(const gateway_route& route);
    [[nodiscard]] bool may_send_again(const request_run& run, const request_part& part) const;
    [[nodiscard]] duration jittered(duration base);

    gateway_options options_;
    directory searchers_;
    round_trips trips_;
    placement placement_;
    pcg32 random_;
    std::shared_ptr<const routing_table> table_ = std::make_shared<routing_table>();
    host_shares hosts_;
    bool complete_ = false;
    struct early_request {
        gateway_request request;
        time_point arrived{};
    };
    std::vector<early_request> early_; ///< that came before enough was known
    std::unordered_map<request_token, run_ptr> runs_;
    std::unordered_map<attempt_id, attempt> attempts_;
    attempt_id last_attempt_ = 0;
    timer_heap<request_token> run_timers_;
    timer_heap<attempt_id> probe_timers_;
    std::map<std::string, latency_estimate> usual_;      ///< by route
    std::map<std::string, extra_budget> budgets_;        ///< by service
    std::map<std::string, traffic_split> splits_;        ///< by route
    std::map<std::string, wait_list> waiting_;           ///< by service
    std::vector<gateway_action::report_searcher> notes_; ///< of the directory, until the next output
    gateway_counters counters_;
};

} // namespace skylarkseam
