// The events and actions of a gateway's decisions: a client's request, the attempts that are made for it at
// searchers, and its answer.
#pragma once

#include <skylarkseam/core/time.hpp>
#include <skylarkseam/gateway/known_searcher.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

using request_token = std::uint64_t; ///< one request of a client, unique within a process

/// What the decisions need of a client's request; method, headers and body stay with the shell.
struct gateway_request {
    request_token token = 0;
    std::string id; ///< as the client sent it
    std::string host;
    std::string path;                  ///< without the query string
    std::optional<duration> time_left; ///< how long the client will wait
};

enum class attempt_outcome {
    answered, ///< a whole response that belongs to the request
    refused,  ///< the searcher says that it did not run the request
    replaced, ///< another searcher has the address, and did not run the request
    not_sent, ///< no byte of the request left this host
    broken,   ///< sent, and no usable response came: it may have run
};

[[nodiscard]] std::string_view name_of(attempt_outcome outcome);

struct header_field {
    std::string name;
    std::string value;
};

/// A searcher's response, decoded and checked for wholeness by the shell.
struct searcher_response {
    int status = 0;
    std::string proof;                 ///< empty: none
    bool encoded = false;              ///< its body is not the plain one
    std::vector<header_field> headers; ///< without those that concern only the connection
    std::string body;
};

struct attempt_result {
    attempt_outcome outcome = attempt_outcome::broken;
    searcher_response response;
    std::optional<duration> connect_time{}; ///< where a connection was opened for it
    std::string detail;                     ///< names the fault where there is no response
};

namespace gateway_event {
struct request_arrived {
    gateway_request request;
};
struct client_disconnected {
    request_token token = 0;
};
/// The attempt waits for a connection to open: nothing of it has left this host. Comes right after its send.
struct attempt_connecting {
    attempt_id id = 0;
};
/// The connection is open, and the request is being written.
struct attempt_sent {
    attempt_id id = 0;
};
struct attempt_ended {
    attempt_id id = 0;
    attempt_result result;
};
struct time_passed {};
} // namespace gateway_event

using gateway_input = std::variant<gateway_event::request_arrived, gateway_event::client_disconnected,
                                   gateway_event::attempt_connecting, gateway_event::attempt_sent,
                                   gateway_event::attempt_ended, gateway_event::time_passed>;

/// Why a request was not answered with a searcher's or a merged answer.
enum class refusal_reason {
    not_ready, ///< no configuration or no searchers are known yet
    no_route,
    no_searcher, ///< none of the service may get the request
    overloaded,  ///< no searcher had room for it in time
    shards_down, ///< fewer shards than the route's least share can answer
    all_refused, ///< every searcher that it was sent to refused it
    broken,      ///< sent, and no usable response came
    deadline,    ///< the time ran out
    draining,
};

[[nodiscard]] std::string_view name_of(refusal_reason reason);

/// How a request went, for its log line.
struct request_summary {
    std::string id;
    std::string route;
    std::uint64_t config_version = 0;
    duration elapsed{};
    duration objective{};
    std::uint32_t parts = 0;
    std::uint32_t parts_missing = 0;
    std::uint32_t attempts = 0;
    std::uint32_t extra_attempts = 0;
    std::string detail;           ///< the last fault that was met
    std::string missing_services; ///< of the missing parts, each with its reason; the first few
};

namespace gateway_answer {
/// The searcher's own response.
struct forwarded {
    searcher_response response;
};
/// The greatest records of the parts.
struct merged {
    std::vector<std::string> proofs;
    std::uint32_t missing = 0;
    std::string body;
};
struct refused {
    refusal_reason reason = refusal_reason::broken;
    int status = 503;
    duration retry_after{}; ///< 0: the answer names no time
};
} // namespace gateway_answer

using any_answer = std::variant<gateway_answer::forwarded, gateway_answer::merged, gateway_answer::refused>;

namespace gateway_action {
struct send {
    attempt_id id = 0;
    request_token token = 0;
    std::string address;
    std::string searcher;
    duration time_left{};       ///< for the searcher's work
    duration connect_timeout{}; ///< for a new connection
};
/// The attempt is given up; its connection is closed, and it gets no attempt_ended.
struct cancel {
    attempt_id id = 0;
};
struct answer {
    request_token token = 0;
    any_answer value;
    request_summary summary;
};
/// A part of a request is sent once more.
struct report_retry {
    std::string request;
    std::string service;
    std::string searcher; ///< that gets it now
    std::string reason;   ///< why the attempt before it is not enough
    duration since{};     ///< the attempt before it was sent
};
/// What is believed of a searcher has changed.
struct report_searcher {
    std::string searcher;
    std::string service;
    std::string health;
    std::string reason;
};
} // namespace gateway_action

using gateway_output = std::variant<gateway_action::send, gateway_action::cancel, gateway_action::answer,
                                    gateway_action::report_retry, gateway_action::report_searcher>;

} // namespace skylarkseam
