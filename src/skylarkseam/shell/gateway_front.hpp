// The clients' side of a gateway: reads requests, drives the decisions, sends what they decide to searchers,
// and writes answers.
#pragma once

#include <skylarkseam/gateway/gateway.hpp>
#include <skylarkseam/shell/connection_checks.hpp>
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/liveness_checks.hpp>
#include <skylarkseam/shell/metrics.hpp>
#include <skylarkseam/shell/platform_binding.hpp>
#include <skylarkseam/shell/relay_runner.hpp>
#include <skylarkseam/shell/upstream_pool.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

#include <deque>
#include <unordered_map>
#include <variant>

namespace skylarkseam {

class gateway_front {
public:
    /// Called when more is known of a request that crashes searchers.
    using suspect_handler = std::function<void(const gateway_action::report_suspect& report)>;

    /// \param knowledge_age  since the store confirmed what this gateway knows, for the log
    gateway_front(event_loop& loop, const platform_binding& binding, http_limits limits,
                  std::size_t answer_limit, gateway_options options, std::function<duration()> knowledge_age,
                  suspect_handler on_suspect, metrics& measured);

    /// Sets what passes requests on to other gateways; to be called once, before the first request.
    void use_relay(relay_runner& relay) { relay_ = &relay; }
    /// How requests of other gateways are taken.
    [[nodiscard]] relay_handlers relay_side();

    std::string listen(const std::string& address) { return server_.listen(address); }

    /// From now on every answer ends its connection.
    void drain() { draining_ = true; }
    /// Refuses new connections, and new requests on those that are open.
    void refuse_new() {
        gateway_.refuse_new_requests();
        server_.stop_listening();
    }
    /// Answers what is still open, since the process ends now: as not run where that is known.
    void refuse_open();

    /// False where the table is not newer than the one in force.
    bool set_table(std::shared_ptr<const routing_table> table);
    /// Every searcher's registration is known.
    void set_listing_complete();
    /// Takes over what other gateways report of requests that crash searchers.
    void merge_suspects(const std::vector<suspect_report>& reports);
    /// Changes what is known of the searchers.
    void update(const std::function<void(directory& searchers)>& change);

    [[nodiscard]] gateway& decisions() { return gateway_; }
    [[nodiscard]] const upstream_pool_counters& pool() const { return pool_.counters(); }
    /// Requests whose answers have not been written whole, those of other gateways included.
    [[nodiscard]] std::size_t open_requests() const { return server_.open_requests() + relayed_open_; }
    [[nodiscard]] std::uint64_t rejected() const { return server_.rejected(); }

private:
    /// A client of this host, or another host.
    using asker = std::variant<respond, relay_respond>;
    struct open_request {
        incoming_request request;
        asker answer_to;
        time_point arrived{};
    };

    void take(incoming_request request, respond answer);
    request_token take_relayed(relay_request request, relay_respond answer);
    void withdraw(request_token token);
    /// Removes an open request.
    void forget(request_token token);
    /// Queues an event and handles all that are queued; events that arise meanwhile wait their turn.
    void deliver(gateway_input event);
    void perform(std::vector<gateway_output> actions);
    void send(gateway_action::send& action);
    void answer(gateway_action::answer& action);
    void log_answer(const gateway_action::answer& action, int status, duration retry_after);

    event_loop& loop_;
    const platform_binding& binding_;
    std::function<duration()> knowledge_age_;
    suspect_handler on_suspect_;
    metrics& measured_;
    gateway gateway_;
    upstream_pool pool_;
    connection_checks checks_;
    liveness_checks liveness_;
    http_server server_;
    wakeup_timer timer_;
    std::unordered_map<request_token, open_request> open_;
    std::deque<gateway_input> events_;
    relay_runner* relay_ = nullptr;
    request_token last_relayed_ = 0;
    std::size_t relayed_open_ = 0; ///< Open requests of other gateways.
    bool delivering_ = false;
    bool draining_ = false;
};

} // namespace skylarkseam
