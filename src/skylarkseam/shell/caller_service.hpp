// The callers' port: reads requests, checks their headers, and writes answers, receipts and errors.
#pragma once

#include <skylarkseam/core/query.hpp>
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/metrics.hpp>
#include <skylarkseam/wire/caller_json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace skylarkseam {

/// How the rest of the node answers a request that the callers' port has read.
struct request_outcome {
    result<query_answer> answer;
    std::string receipt_json = "{}"; ///< a JSON object
    std::string job{};               ///< not empty: the request was stored as this job, and the answer is 202
    std::string blank_body{};        ///< not empty: the body of the answer, but for request id and receipt
};

/// What the callers' port asks of the rest of the node.
struct caller_handlers {
    /// Answers one request; `done` is called exactly once.
    std::function<void(query_request request, std::function<void(request_outcome)> done)> on_query;
    /// Told of each request that is refused before on_query, with what could be read of it.
    std::function<void(const query_request& request, const error& fault)> on_refused;
    /// The body of GET /v1/jobs/{id}, for the caller that the request names; empty where it names none.
    std::function<void(const std::string& job, const std::string& caller,
                       std::function<void(result<std::string>)> done)>
        on_job;
    /// Why the balancer should send nothing here; nothing when all is well.
    std::function<std::optional<error>()> unfit;
    /// Why a new request is refused at once; nothing when it is taken.
    std::function<std::optional<error>()> refuse;
    /// The service's class where the configuration knows the service.
    std::function<std::shared_ptr<const configuration>()> configuration_now;
};

class caller_service {
public:
    caller_service(event_loop& loop, http_limits limits, caller_limits query_limits, metrics& measured,
                   caller_handlers handlers);

    /// Listens on ip:port; returns the address in use.
    std::string listen(const std::string& address) { return server_.listen(address); }

    [[nodiscard]] std::size_t open_requests() const { return server_.open_requests(); }
    [[nodiscard]] std::uint64_t rejected() const { return server_.rejected(); }

private:
    void handle(const incoming_request& request, const respond& answer);
    void handle_query(const incoming_request& request, const std::string& service, const respond& answer);
    void finish_query(const std::string& request_id, const std::string& service, time_point began,
                      const request_outcome& outcome, const respond& answer);
    void refuse_query(const query_request& request, time_point began, const error& fault,
                      const respond& answer);
    void handle_job(const std::string& job, const std::string& caller, const respond& answer);

    event_loop& loop_;
    caller_limits query_limits_;
    metrics& measured_;
    caller_handlers handlers_;
    http_server server_;
};

/// The answer to a request that failed.
[[nodiscard]] outgoing_response error_response(const error& fault);

} // namespace skylarkseam
