// Request logic of a gateway, without I/O: takes events with their times and returns actions. It routes each
// request, chooses searchers for its parts, sends hedged requests and retries, and decides when and how the
// request is answered.
#pragma once

#include <skylarkseam/core/timer_heap.hpp>
#include <skylarkseam/gateway/answer_reserve.hpp>
#include <skylarkseam/gateway/crash_suspects.hpp>
#include <skylarkseam/gateway/directory.hpp>
#include <skylarkseam/gateway/extra_budget.hpp>
#include <skylarkseam/gateway/placement.hpp>
#include <skylarkseam/gateway/relay_peers.hpp>
#include <skylarkseam/gateway/request_run.hpp>
#include <skylarkseam/gateway/traffic_split.hpp>
#include <skylarkseam/gateway/upstream_reach.hpp>
#include <skylarkseam/gateway/wait_list.hpp>

#include <unordered_map>

namespace skylarkseam {

struct gateway_options {
    placement_view view;
    directory_timing timing;
    extra_budget_limits extra; ///< Retry budget of each service, over all hosts.
    std::uint64_t seed = 1;
};

/// Counters since the start of the process.
struct gateway_counters {
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;   ///< Requests answered with a searcher's answer or with all parts.
    std::uint64_t partial = 0; ///< Requests answered with some of their parts.
    std::uint64_t refused = 0;
    std::uint64_t attempts = 0;
    std::uint64_t extra_attempts = 0;
    /// Extra attempts that were not sent because the retry budget was used up.
    std::uint64_t extra_denied = 0;
    std::uint64_t cancelled = 0;         ///< Attempts that the gateway aborted.
    std::uint64_t leaving_announced = 0; ///< Searchers that announced their shutdown in an answer.
    std::uint64_t back_offs = 0;         ///< Refusals in which a searcher asked for no requests for a time.
    std::uint64_t rate_limits = 0;       ///< Searchers that began to state a rate limit.
    std::uint64_t searcher_checks = 0;   ///< Checks whether a searcher accepts connections.
    std::uint64_t crash_refusals = 0;    ///< Requests refused because searchers ended under them.
    std::uint64_t relayed = 0;           ///< Times that a request was passed on to another host.
};

/// Invariants: each request gets exactly one answer unless its client disconnects. A request that is answered
/// as not run was never sent, or every searcher that got it reported that it did not run it. A request that
/// must not run twice has at most one attempt that may have run.
class gateway {
public:
    explicit gateway(gateway_options options);

    using output = std::vector<gateway_output>;

    /// Installs a configuration. Returns false and ignores the configuration if it is not newer than the
    /// current one.
    bool set_table(std::shared_ptr<const routing_table> table, time_point now, output& out);
    [[nodiscard]] const std::shared_ptr<const routing_table>& table() const { return table_; }

    /// Sets the numbers of hosts that share the searchers' connections and the retry budgets.
    void set_hosts(const host_counts& hosts) { hosts_ = hosts; }
    [[nodiscard]] const host_counts& hosts() const { return hosts_; }
    void set_extra_budget(const extra_budget_limits& limits) { options_.extra = limits; }

    [[nodiscard]] directory& searchers() { return searchers_; }
    [[nodiscard]] const directory& searchers() const { return searchers_; }
    /// Reports that the first listing of all registrations is complete. Requests that arrive earlier wait for
    /// a short time and are then refused.
    void set_listing_complete(time_point now, output& out);
    /// Sends waiting requests where possible; called after every change to searchers().
    void on_searchers_changed(time_point now, output& out);

    void handle(gateway_input event, time_point now, output& out);

    /// Refuses every request that arrives from now on, because the process ends soon.
    void refuse_new_requests() { refuses_new_ = true; }
    /// Ends all open requests at once: those of which nothing was sent are refused as not run.
    void end_open_requests(time_point now, output& out);

    /// Sets the other gateways that take requests while this host reaches no searcher.
    void set_peers(const std::vector<relay_peer>& peers);
    /// Whether this host takes a request of another one that knows `config_version`.
    [[nodiscard]] bool takes_relays(std::uint64_t config_version) const;
    /// Gateways that this host names to one that reaches no searcher.
    [[nodiscard]] std::vector<relay_peer> peers_to_name(time_point now) {
        return peers_.named_to_others(now);
    }
    [[nodiscard]] const upstream_reach& reach() const { return reach_; }

    [[nodiscard]] const crash_suspects& suspects() const { return suspects_; }
    /// Takes over what other hosts report of requests under which searchers ended.
    void merge_suspects(const std::vector<suspect_report>& reports, time_point now, output& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t open_requests() const { return runs_.size(); }
    [[nodiscard]] const gateway_counters& counters() const { return counters_; }

private:
    struct attempt {
        /// Request of the attempt; 0 if its result only serves as a probe of the searcher.
        request_token token = 0;
        std::size_t part = 0;
        known_searcher_ptr target;
        std::string route;
        time_point sent{};
        duration typical_latency{};
        duration overload_latency{}; ///< Latency above which the searcher counts as overloaded.
        time_point probe_deadline{}; ///< Timeout of an attempt that only serves as a probe.
        std::string fingerprint;
    };
    using run_ptr = std::shared_ptr<request_run>;
    /// A request that was passed on to another host.
    struct relayed_request {
        std::string id;
        std::string fingerprint;
        std::shared_ptr<const routing_table> table;
        const gateway_route* route = nullptr;
        time_point arrived{};
        time_point deadline{};
        std::vector<std::string> tried;  ///< Addresses of the hosts that got it
        std::string peer;                ///< The last of them
        time_point sent{};               ///< Time at which it was passed on to the last host
        time_point retry_at{};           ///< Time by which the last host has to accept it
        std::uint32_t attempts_left = 1; ///< Number of searchers that may still get it
        std::uint32_t lost = 0;          ///< Number of hosts that have not answered
        bool sent_here = false;          ///< Whether a searcher may have got it from this host
        bool accepted = false;           ///< Whether the last host has accepted it and not answered
        /// Answer of a host that had no room for it and states that it has not run.
        std::optional<gateway_answer::relayed> refusal{};

        [[nodiscard]] bool may_have_run() const { return sent_here || accepted || lost > 0; }
    };

    [[nodiscard]] bool is_ready() const { return listing_complete_ && table_->version > 0; }
    void on_request_arrived(const gateway_request& request, time_point now, output& out);
    void start_run(const gateway_request& request, const gateway_route& route, time_point now, output& out);
    void refuse(const gateway_request& request, refusal_reason reason, output& out);
    /// Refuses a request under which searchers ended. Returns false if it may be sent.
    bool refuse_if_it_crashes(const gateway_request& request, time_point now, output& out);
    void release_startup_queue(time_point now, output& out);
    void on_client_disconnected(request_token token, time_point now, output& out);
    /// Records whether a byte of the attempt may have left this host.
    void set_may_run(attempt_id id, bool sent);
    void on_attempt_ended(attempt_id id, attempt_result result, time_point now, output& out);
    void on_timer(time_point now, output& out);

    void make_parts(request_run& run, time_point now);
    /// Sends a part, queues it, or marks it as failed.
    void place_part(const run_ptr& run, std::size_t part, bool extra, time_point now, output& out);
    void apply_choice(const run_ptr& run, std::size_t part, const placement_choice& choice, bool extra,
                      time_point now, output& out);
    /// Searchers for the parts of a request of which nothing was sent yet.
    struct request_choices {
        std::vector<placement_choice> of_part;
        /// Parts for which a faulty searcher is to be probed beside the chosen one. They are few, so that a
        /// request does not fail on a host that has not seen one for some time.
        std::vector<std::size_t> probes;
    };
    [[nodiscard]] request_choices choose_searchers(const request_run& run, time_point now);
    /// Sends a part to a faulty searcher too, if the retry budget is hardly used.
    void send_probe(const run_ptr& run, std::size_t part, time_point now, output& out);
    [[nodiscard]] bool budget_is_ample(const std::string& service, time_point now);
    /// Places all parts of a request of which nothing was sent yet. The parts are sent if enough of them have
    /// a searcher with a free connection slot; otherwise the request is queued or fails.
    void place_request(const run_ptr& run, time_point now, output& out);
    /// Queues a request until a service without a free connection slot has one again. The request fails at
    /// once if the expected wait is too long.
    void hold_request(const run_ptr& run, const std::vector<placement_choice>& choices, time_point now);
    /// Entry of a held request in the wait list of a part's service.
    [[nodiscard]] static wait_list::entry entry_of(const request_run& run, std::size_t part);
    /// Removes a held request from the wait lists.
    void end_hold(request_run& run);
    /// Refuses a request of which nothing was sent, because its searchers take no requests before `end`.
    static void refuse_until(request_run& run, time_point end, time_point now);
    void send(const run_ptr& run, std::size_t part, const placement_choice& choice, time_point now,
              output& out);
    void send_hedge(const run_ptr& run, std::size_t part, time_point now, output& out);
    void apply_result(const run_ptr& run, std::size_t part, attempt_result& result, time_point now,
                      output& out);
    void retry_or_fail(const run_ptr& run, std::size_t part, refusal_reason reason, time_point now,
                       output& out);
    /// Retries refused parts if the query can still succeed; marks them as failed otherwise.
    void resolve_refused_parts(const run_ptr& run, time_point now, output& out);
    [[nodiscard]] bool budget_is_low(const std::string& service, time_point now);
    /// Records what a searcher announced about itself in an answer.
    void record_announcements(known_searcher& it, const attempt_result& result, time_point now);
    void record_rate_limit(known_searcher& it, const attempt_result& result, time_point now);
    void record_result(attempt& ended, const attempt_result& result, time_point now, output& out);

    /// Whether the request may crash each searcher that runs it: a searcher ended under it, or it has lost a
    /// connection and no searcher has answered it.
    [[nodiscard]] bool is_suspected(const request_run& run, time_point now) const;
    /// Sends a suspected request over shards for one part; the others are deferred.
    void place_suspected(const run_ptr& run, time_point now, output& out);
    /// Sends deferred parts, one at a time while the request is suspected.
    void continue_deferred_parts(const run_ptr& run, time_point now, output& out);
    void send_deferred_part(const run_ptr& run, std::size_t part, time_point now, output& out);
    /// Marks a part as failed if the request is not to be sent to any searcher. Returns false otherwise.
    bool fail_if_it_crashes(request_run& run, std::size_t part, time_point now);
    /// Index of the deferred part to send next: one that shares its searcher with no other suspected request.
    [[nodiscard]] std::size_t next_deferred_part(const request_run& run, time_point now);
    /// Records that an attempt lost its connection, and finds out whether the searcher ended.
    void record_loss(const attempt& ended, bool accountable, time_point now, output& out);
    void on_searcher_checked(const gateway_event::searcher_checked& event, time_point now, output& out);
    /// Holds the end of a searcher against the requests that were open there.
    void on_searcher_ended(const known_searcher& it, time_point now, output& out);
    void report_suspects(const std::vector<std::string>& fingerprints, const std::string& searcher,
                         bool found_here, time_point now, output& out);
    /// Continues the open requests for which `affected` holds.
    void continue_runs(const std::function<bool(const request_run& run)>& affected, time_point now,
                       output& out);
    void continue_runs_of(const std::vector<std::string>& fingerprints, time_point now, output& out);
    /// Whether so many searchers are unreachable that this host's own network is the likelier fault.
    [[nodiscard]] bool may_be_cut_off() const;

    /// Notes if the part's last attempt has been open for longer than usual.
    void note_silence(const request_part& part, time_point now);
    /// Checks whether this host reaches searchers, if that is due.
    void check_reach(time_point now, output& out);
    /// Searchers for a round of checks; those that may get a liveness request go first.
    [[nodiscard]] std::vector<known_searcher_ptr> searchers_to_check(std::size_t count, time_point now);
    /// Whether a liveness request breaks no limit of the searcher.
    [[nodiscard]] bool takes_liveness_requests(const known_searcher& it, time_point now) const;
    [[nodiscard]] duration shortest_objective() const;
    void take_reach_check(const gateway_event::searcher_checked& event, time_point now, output& out);
    /// Asks other hosts whether they take requests, while this one reaches no searcher.
    void ask_peers(time_point now, output& out);
    void on_peer_asked(const gateway_event::peer_asked& it, time_point now);
    void relay(const gateway_request& request, const gateway_route& route, time_point now, output& out);
    /// Passes on what is open when this host loses the searchers, as far as it may run again.
    void relay_open_runs(time_point now, output& out);
    /// Number of searchers that may still get each part.
    [[nodiscard]] static std::uint32_t attempts_left(const request_run& run);
    /// Returns false if the retry budget does not allow to send the request again.
    bool spend_for_relay(const request_run& run, time_point now);
    /// Passes a request on to the next host, or refuses it.
    void relay_on(request_token token, time_point now, output& out);
    void refuse_relay(request_token token, time_point now, output& out);
    void answer_relay(request_token token, gateway_reply reply, time_point now, output& out);
    /// Answers with the word of the host that the request was last passed on to.
    void answer_with_word_of_peer(request_token token, gateway_answer::relayed answer, time_point now,
                                  output& out);
    void on_relay_accepted(request_token token, time_point now);
    void on_relay_ended(request_token token, relay_result result, time_point now, output& out);
    void on_relay_timer(request_token token, time_point now, output& out);

    /// Answers the request if it is complete or its time is up.
    void finish_if_ready(const run_ptr& run, time_point now, output& out);
    void finish(const run_ptr& run, gateway_reply reply, time_point now, output& out);
    /// Delay after which a refused client is asked to return, before jitter is applied.
    [[nodiscard]] static duration retry_after_base(refusal_reason reason);
    /// Time by which a request has to be answered.
    [[nodiscard]] static time_point deadline_of(const gateway_request& request, const gateway_route& route,
                                                time_point now);
    /// The answer to a request that has failed, and what is known of its execution.
    [[nodiscard]] gateway_reply failure_of(const request_run& run, refusal_reason reason);
    /// Ends the open attempts of a request that is over.
    /// \param keep_as_probes  whether attempts at faulty searchers stay open, as probes; one that waits for
    /// its connection then still runs
    void end_attempts_of_run(request_run& run, bool keep_as_probes, time_point now, output& out);
    void end_attempts_of_part(request_part& part, bool keep_as_probes, time_point now, output& out);
    void dispatch_waiting(const std::string& service, time_point now, output& out);
    [[nodiscard]] placement_request placement_request_for(const request_run& run, const request_part& part,
                                                          time_point now);
    /// Latency estimate for the route's requests at a searcher.
    [[nodiscard]] latency_estimate& latency_estimate_of(const gateway_route& route);
    [[nodiscard]] bool may_retry(const request_run& run, const request_part& part) const;
    [[nodiscard]] duration jittered(duration base);

    gateway_options options_;
    directory searchers_;
    round_trips round_trips_;
    placement placement_;
    pcg32 random_;
    std::shared_ptr<const routing_table> table_ = std::make_shared<routing_table>();
    host_counts hosts_;
    bool listing_complete_ = false;
    bool refuses_new_ = false;
    struct startup_request {
        gateway_request request;
        time_point arrived{};
    };
    std::vector<startup_request> startup_queue_; ///< Requests that arrived before the gateway was ready.
    std::unordered_map<request_token, run_ptr> runs_;
    std::unordered_map<attempt_id, attempt> attempts_;
    crash_suspects suspects_;
    std::unordered_map<attempt_id, known_searcher_ptr> checks_; ///< Searchers that are being checked.
    upstream_reach reach_;
    std::unordered_map<attempt_id, known_searcher_ptr>
        reach_checks_;   ///< Searchers of the checks of `reach_`.
    pcg32 reach_random_; ///< Chooses the searchers of these checks.
    relay_peers peers_;
    std::unordered_map<request_token, relayed_request> relays_;
    attempt_id last_attempt_id_ = 0;
    timer_heap<request_token> run_timers_;
    answer_reserve answer_reserve_;
    timer_heap<attempt_id> probe_timers_;
    std::map<std::string, latency_estimate> latency_estimates_; ///< Keyed by route name.
    std::map<std::string, extra_budget> budgets_;               ///< Keyed by service name.
    std::map<std::string, traffic_split> traffic_splits_;       ///< Keyed by route name.
    std::map<std::string, wait_list> wait_lists_;               ///< Keyed by service name.
    /// Reports of health changes that the next output will contain.
    std::vector<gateway_action::report_searcher> pending_reports_;
    gateway_counters counters_;
};

} // namespace skylarkseam
