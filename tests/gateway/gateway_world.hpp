// A small model of what surrounds gateways, in virtual time: searchers with slots, queues, pauses and faults,
// links with delays, and clients that keep a steady rate.
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

/// How a model searcher behaves at present.
struct searcher_behaviour {
    double slowdown = 1.0;      ///< factor on the work of each request
    double refused_share = 0.0; ///< part of the requests that it refuses without running them
    double failed_share = 0.0;  ///< part of the requests that it answers with 500
    double lost_share = 0.0;    ///< part of the requests that it runs and whose answer is lost
    bool unreachable = false;   ///< nothing reaches it and nothing comes back
    bool replaced = false;      ///< another searcher has its address
    duration pause{};           ///< it stands still for so long ...
    duration pause_every{};     ///< ... at this interval; 0: never
    duration pause_offset{};
};

struct model_searcher {
    searcher_record record;
    searcher_behaviour behaviour;
    std::uint32_t queue_limit = 24;
    std::uint32_t running = 0;
    std::uint32_t open = 0;      ///< requests that hosts have open here, as far as they know
    std::uint32_t most_open = 0; ///< at any time
    std::uint64_t arrivals = 0;
    std::vector<std::function<void()>> queued;
};

/// What a client saw of one request.
struct client_result {
    request_token token = 0;
    std::string id;
    int status = 0;
    std::uint32_t host = 0;
    std::uint32_t parts = 0;
    std::uint32_t missing = 0;
    duration latency{};
    duration retry_after{};
};

class gateway_world {
public:
    static constexpr duration in_zone = microseconds(200);
    static constexpr duration cross_region = milliseconds(20);

    /// Hosts lie in the zones a, b and c in turn.
    explicit gateway_world(std::uint32_t hosts = 1, std::uint64_t seed = 1);
    /// \param host_zones  the zone of each host, of a, b and c
    explicit gateway_world(const std::vector<std::string>& host_zones, std::uint64_t seed = 1);

    /// \param zones  one searcher in each
    void add_service(const std::string& name, std::uint32_t slots, const std::vector<std::string>& zones,
                     std::uint32_t connections = 36);
    void cold_rate(const std::string& service, double per_second) {
        table_->services[service].cold_rate = per_second;
    }
    void add_route(gateway_route route);
    void publish(); ///< makes the routes and services known to every gateway

    model_searcher& at(const std::string& service, std::size_t n = 0);

    void after(duration delay, std::function<void()> task);
    void run_for(duration time);
    /// Asks one host; the result lands in `results`. Returns the token.
    request_token send_request(const std::string& path, std::uint32_t host = 0,
                               std::optional<duration> patience = std::nullopt);
    void disconnect(request_token token, std::uint32_t host = 0);
    /// A steady rate over all hosts for `time`.
    void load(const std::string& path, double per_second, duration time);
    /// The same over the hosts of one zone.
    void load_zone(const std::string& zone, const std::string& path, double per_second, duration time);

    /// Requests of a service that ran, and how often each; by id.
    [[nodiscard]] std::map<std::string, int> runs_of(const std::string& service) const;

    time_point now{seconds(100)};
    duration work = milliseconds(20); ///< mean of each request at a searcher
    std::vector<std::unique_ptr<gateway>> hosts;
    std::map<std::string, std::vector<std::unique_ptr<model_searcher>>> searchers; ///< by service
    std::vector<client_result> results;
    std::uint64_t extra_arrivals = 0; ///< beyond the first of each request at each service

private:
    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> task;
        bool operator<(const event& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    struct flight {
        std::uint32_t host = 0;
        attempt_id id = 0;
        model_searcher* target = nullptr;
        bool cancelled = false;
    };

    void handle(std::uint32_t host, gateway_input input);
    void perform(std::uint32_t host, const std::vector<gateway_output>& actions);
    void send(std::uint32_t host, const gateway_action::send& action);
    void arrive(model_searcher& it, const std::shared_ptr<flight>& to, const std::string& id);
    void run(model_searcher& it, const std::shared_ptr<flight>& to, const std::string& id);
    void reply(const model_searcher& from, const std::shared_ptr<flight>& to, attempt_result result);
    void wake(std::uint32_t host);
    void load_hosts(const std::vector<std::uint32_t>& to, const std::string& path, double per_second,
                    duration time);
    void end_flight(attempt_id key);
    [[nodiscard]] duration link(std::uint32_t host, const model_searcher& it) const;
    [[nodiscard]] duration pause_left(const model_searcher& it) const;
    double uniform() { return random_() / 4294967296.0; }

    pcg32 random_;
    std::vector<std::string> host_zones_;
    std::shared_ptr<routing_table> table_ = std::make_shared<routing_table>();
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::map<std::string, model_searcher*> by_address_;
    std::map<std::string, model_searcher*> by_id_;
    struct asked {
        std::string id;
        time_point when{};
    };
    std::map<request_token, asked> asked_;
    std::map<attempt_id, std::shared_ptr<flight>> flights_;      ///< keys are unique over the hosts
    std::map<std::string, std::map<std::string, int>> arrivals_; ///< by service and request id
    std::map<std::string, std::map<std::string, int>> runs_;
    request_token last_token_ = 0;
};

/// A route over one service or over shards, with objective and time-out of the users' helpline search.
[[nodiscard]] gateway_route shard_route(const std::vector<std::string>& services, double min_share = 0.75);
[[nodiscard]] gateway_route single_route(const std::string& service, repeatability repeat);

} // namespace skylarkseam::testing
