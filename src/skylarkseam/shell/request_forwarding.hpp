// How a client's request is written to a searcher, and how a searcher's response is read: headers that
// concern one connection stay on it, everything else passes unchanged.
#pragma once

#include <skylarkseam/gateway/exchange.hpp>
#include <skylarkseam/gateway/http_dialect.hpp>
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/upstream_connection.hpp>

namespace skylarkseam {

/// What the decisions need of a request.
[[nodiscard]] gateway_request to_gateway_request(const incoming_request& request, const http_dialect& names);

/// The request as a searcher gets it.
[[nodiscard]] upstream_request to_upstream_request(const incoming_request& request, const http_dialect& names,
                                                   const std::string& searcher, duration time_left);

[[nodiscard]] attempt_result to_attempt_result(upstream_result result, const http_dialect& names);

/// What the client gets.
[[nodiscard]] outgoing_response to_client_response(any_answer answer, const http_dialect& names);

} // namespace skylarkseam
