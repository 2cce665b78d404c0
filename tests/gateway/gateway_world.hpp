// Simulation of the environment of gateways in virtual time: searchers with slots, queues, pauses and faults,
// links with delays, and clients with a steady request rate.
#pragma once

#include <skylarkseam/gateway/gateway.hpp>

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace skylarkseam::testing {

/// Current behaviour of a simulated searcher.
struct searcher_behaviour {
    double slowdown = 1.0;      ///< Factor on the processing time of each request.
    double refused_share = 0.0; ///< Share of the requests that the searcher refuses without running them.
    double failed_share = 0.0;  ///< Share of the requests that the searcher runs and answers as failed.
    int failed_status = 500; ///< Status of these answers, none of which states that the request has not run.
    double lost_share = 0.0; ///< Share of the requests that the searcher runs and whose answer is lost.
    /// If set, the searcher answers each request at once, without running it to its end, and so.
    std::optional<attempt_result> instant_answer{};
    bool unreachable = false; ///< True if all requests to the searcher and all its answers are lost.
    bool replaced = false;    ///< True if another searcher uses the address.
    bool leaving = false;     ///< True if each answer announces that the searcher shuts down.
    /// If set, the searcher refuses all requests and asks each host for none during that time.
    std::optional<duration> back_off;
    /// If set, each answer states that the searcher accepts so many requests a second from all hosts.
    std::optional<double> rate_limit;
    bool refusals_state_limit = true;
    duration pause{};       ///< Length of a pause, in which the searcher does no work.
    duration pause_every{}; ///< Interval between the starts of two pauses; 0 if the searcher never pauses.
    duration pause_offset{};
};

struct model_searcher {
    searcher_record record;
    searcher_behaviour behaviour;
    std::uint32_t queue_limit = 24;
    std::uint32_t running = 0;
    /// Number of requests that the hosts have open at the searcher, from the hosts' point of view.
    std::uint32_t open = 0;
    std::uint32_t most_open = 0; ///< Maximum of `open` so far.
    std::uint64_t arrivals = 0;
    struct arrival {
        std::uint32_t host = 0;
        time_point when{};
    };
    std::vector<arrival> arrival_log;
    std::vector<std::function<void()>> queued;
    bool ended = false;      ///< True while no process listens at the searcher's address.
    std::uint32_t start = 1; ///< Counts the starts of the process.
};

/// A request that was sent to a searcher, or the end of a searcher under one.
struct crash_record {
    std::string path;
    std::uint32_t host = 0;
    std::string searcher;
    time_point when{};
};

/// Result of one request, as seen by its client.
struct client_result {
    request_token token = 0;
    std::string id;
    std::string path;
    int status = 0;
    std::uint32_t host = 0;
    std::uint32_t parts = 0;
    std::uint32_t missing = 0;
    duration latency{};
    time_point answered{};
    duration retry_after{};
    std::string fault; ///< Last fault of an attempt, or the reason of a refusal.
    execution_report report{};
};

/// What becomes of a host's connections to searchers.
enum class upstream_links {
    sound,
    hanging,   ///< Nothing passes; connections do not open, and what is sent is lost after a time.
    refused,   ///< Open connections are reset, and new ones are refused.
    mute,      ///< Connections open, and nothing that is sent on them is answered.
    resetting, ///< Connections open and are reset when something is sent on them.
};

class gateway_world {
public:
    static constexpr duration in_zone = microseconds(200);
    static constexpr duration cross_region = milliseconds(20);

    /// Places the hosts in the zones a, b and c in rotation.
    explicit gateway_world(std::uint32_t hosts = 1, std::uint64_t seed = 1);
    /// \param host_zones  the zone of each host: a, b or c
    explicit gateway_world(const std::vector<std::string>& host_zones, std::uint64_t seed = 1);

    /// \param zones  zones that get one searcher each
    void add_service(const std::string& name, std::uint32_t slots, const std::vector<std::string>& zones,
                     std::uint32_t connections = 36);
    void cold_rate(const std::string& service, double per_second) {
        table_->services[service].cold_rate = per_second;
    }
    void warm_up(const std::string& service, duration time) { table_->services[service].warm_up = time; }
    void add_route(gateway_route route);
    void publish(); ///< Sends the routes and services to every gateway.

    model_searcher& at(const std::string& service, std::size_t n = 0);

    void after(duration delay, std::function<void()> task);
    void run_for(duration time);
    /// Sends a request to one host and returns its token; the result is added to `results`.
    request_token send_request(const std::string& path, std::uint32_t host = 0,
                               std::optional<duration> patience = std::nullopt);
    void disconnect(request_token token, std::uint32_t host = 0);
    /// Ends the open requests of a host, whose process ends.
    void end_open_requests(std::uint32_t host = 0);
    /// Ends a searcher's process: its connections are reset and new ones are refused. Its entry lapses, and
    /// after `down_time` another process starts at the address.
    void crash(model_searcher& it);
    /// Sets the zones whose searchers get no work.
    void set_evacuated(const std::set<std::string>& zones);
    /// A status report of the searcher reaches every host.
    void report(const searcher_record& record);
    /// Generates requests at a steady rate to all hosts for `time`, each with a path of its own below `path`.
    void load(const std::string& path, double per_second, duration time);
    /// Generates requests at a steady rate to the hosts of one zone for `time`.
    void load_zone(const std::string& zone, const std::string& path, double per_second, duration time);

    /// Number of runs of each request that the service ran, keyed by request ID.
    [[nodiscard]] std::map<std::string, int> runs_of(const std::string& service) const;

    time_point now{seconds(100)};
    std::optional<duration> client_round_trip; ///< As the hosts have measured it; absent if they have not.
    duration work = milliseconds(20);          ///< Mean processing time of a request at a searcher.
    std::vector<std::unique_ptr<gateway>> hosts;
    /// Keyed by service name.
    std::map<std::string, std::vector<std::unique_ptr<model_searcher>>> searchers;
    std::vector<client_result> results;
    /// Number of arrivals at a service beyond the first one of each request.
    std::uint64_t extra_arrivals = 0;

    std::map<std::uint32_t, upstream_links> links; ///< By host; sound if absent.
    std::set<std::uint32_t> still;                 ///< Hosts that handle no request of another host.
    std::set<std::uint32_t>
        of_an_old_build; ///< Hosts that cannot say whether they take requests, or have run one.
    std::map<std::uint32_t, std::size_t> questions_to; ///< Number of such questions to each host.
    std::set<std::string> deadly_paths; ///< A request with such a path crashes each searcher that runs it.
    duration down_time = seconds(3);    ///< Time until a searcher that crashed has started again.
    /// Time beyond a round trip to open a connection. If absent, connections are always open.
    std::optional<duration> handshake_time;
    duration connection_idle_time = seconds(5); ///< Time after which an unused connection is closed.
    /// Time in which what one host learns of such requests reaches the others; absent if it does not.
    std::optional<duration> report_time = milliseconds(60);
    std::vector<crash_record> deadly_sent;
    std::vector<crash_record> crashes; ///< Ends of searchers under requests with a deadly path.

private:
    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> task;
        bool operator<(const event& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    struct in_flight_attempt {
        std::uint32_t host = 0;
        attempt_id id = 0;
        model_searcher* target = nullptr;
        bool cancelled = false;
        bool arrived = false;
        bool replied = false;
        std::string path;
        std::string searcher;                   ///< ID of the searcher that the request is meant for.
        std::optional<duration> connect_time{}; ///< Set if a connection was opened for it.
    };

    void handle(std::uint32_t host, gateway_input input);
    void perform(std::uint32_t host, const std::vector<gateway_output>& actions);
    void send(std::uint32_t host, const gateway_action::send& action);
    /// Takes an idle connection for the attempt, or begins to open one. Returns the time until the request
    /// leaves the host.
    duration connect(const std::shared_ptr<in_flight_attempt>& attempt);
    void arrive(model_searcher& it, const std::shared_ptr<in_flight_attempt>& attempt, const std::string& id);
    void run(model_searcher& it, const std::shared_ptr<in_flight_attempt>& attempt, const std::string& id);
    void start_again(model_searcher& it);
    void check(std::uint32_t host, const gateway_action::check_searcher& action);
    /// Tells the other hosts what one host has learned of requests under which searchers ended.
    void pass_on_suspects(std::uint32_t host);
    /// Handles an attempt of a host whose links are not sound. Returns false if they are.
    bool lose(std::uint32_t host, const std::shared_ptr<in_flight_attempt>& attempt,
              const gateway_action::send& action);
    void end_later(const std::shared_ptr<in_flight_attempt>& attempt, duration delay,
                   const attempt_result& result);
    void relay(std::uint32_t host, const gateway_action::relay& action);
    void ask_peer(std::uint32_t host, const gateway_action::ask_peer& action);
    void cancel_relay(std::uint32_t host, request_token token);
    [[nodiscard]] static std::uint32_t host_at(const std::string& address);
    /// Hands an answer on to the host that passed the request on. Returns false for a client's request.
    bool answer_relay(std::uint32_t host, request_token token, const client_result& result);
    void introduce_hosts();
    [[nodiscard]] duration between(std::uint32_t host, std::uint32_t other) const;
    void for_each_host(const std::function<void(directory& known)>& change);
    void reply(const model_searcher& from, const std::shared_ptr<in_flight_attempt>& attempt,
               attempt_result result);
    void wake(std::uint32_t host);
    void load_hosts(const std::vector<std::uint32_t>& host_indices, const std::string& path,
                    double per_second, duration time);
    void remove_in_flight(attempt_id key);
    [[nodiscard]] duration link(std::uint32_t host, const model_searcher& it) const;
    [[nodiscard]] duration pause_left(const model_searcher& it) const;
    double uniform() { return random_() / 4294967296.0; }

    pcg32 random_;
    std::vector<std::string> host_zones_;
    std::shared_ptr<routing_table> table_ = std::make_shared<routing_table>();
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::map<std::uint32_t, std::uint64_t> passed_on_; ///< Last change that each host has told the others.
    std::map<std::string, model_searcher*> by_address_;
    /// Times since which connections are idle, by host and address.
    std::map<std::pair<std::uint32_t, std::string>, std::vector<time_point>> idle_connections_;
    struct request_record {
        std::string id;
        std::string path;
        time_point when{};
    };
    std::map<request_token, request_record> requests_;
    /// Keyed by host and attempt ID, packed into one value.
    std::map<attempt_id, std::shared_ptr<in_flight_attempt>> in_flight_;
    /// Hosts and addresses of the searchers whose open connections have been used since the links failed.
    std::set<std::pair<std::uint32_t, std::string>> kept_connections_;
    std::map<std::string, std::map<std::string, int>> arrivals_; ///< Keyed by service name and request ID.
    std::map<std::string, std::map<std::string, int>> runs_;
    struct relayed_from {
        std::uint32_t host = 0;
        request_token token = 0;
        std::uint32_t at = 0; ///< Host that got the request
    };
    std::map<request_token, relayed_from> relayed_; ///< By token at the host that got the request
    request_token last_token_ = 0;
    std::uint64_t last_load_request_ = 0;
};

/// Region of a zone.
[[nodiscard]] std::string region_of(const std::string& zone);

/// Routes over shards or to a single service, with the objective and timeout of the users' helpline search.
[[nodiscard]] gateway_route shard_route(const std::vector<std::string>& services, double min_share = 0.75);
[[nodiscard]] gateway_route single_route(const std::string& service, repeatability repeat);

} // namespace skylarkseam::testing
