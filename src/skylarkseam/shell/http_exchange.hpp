// One request to the HTTP server while it is read, handled and answered. Used by the server only.
#pragma once

#include <skylarkseam/shell/http_server.hpp>

#include <microhttpd.h>

#include <optional>
#include <string>

namespace skylarkseam {

/// The state of one request, from its first header to the end of its answer.
struct http_exchange {
    MHD_Connection* connection = nullptr;
    incoming_request request;
    std::optional<outgoing_response> response;
    time_point began{};   ///< its first line was read
    std::size_t held = 0; ///< bytes of its body and of its answer's
    /// Memory of the connection that its head has left for the answer's head.
    std::size_t answer_head_room = 0;
    bool begun = false;   ///< its head is complete; the limits are checked then, and not again
    bool refused = false; ///< answered with an error before the handler saw it
    bool handed_over = false;
    bool suspended = false;
    bool alive = true; ///< false once the client or the server has gone
    std::uint64_t id = 0;
    bool reported_gone = false;
};

[[nodiscard]] int socket_of(const http_exchange& it);

/// Fills in the headers, their names in lower case, and the arguments of the query string.
void collect_fields(http_exchange& it);

/// What a request's head leaves of the connection's memory, for the head of its answer.
[[nodiscard]] std::size_t answer_head_room_of(const http_exchange& it, std::size_t connection_memory);

/// The memory that the head of a response takes.
[[nodiscard]] std::size_t head_size_of(const outgoing_response& response);

/// Ends the query string of a request, which has been copied, before the library reads it: the library spends
/// about 56 bytes of the connection's memory on each argument, and where they don't suffice it drops the
/// request and the connection without an answer and without a call of the completion handler.
///
/// \param uri  what the library passes to the URI callback
void keep_arguments_from_library(const char* uri);

[[nodiscard]] std::string percent_decoded(std::string text);

/// Least memory that a request must leave for the head of its answer, else it is refused. Each error of the
/// server's own fits into it.
constexpr std::size_t min_answer_head_room = 1024;

/// The answer to a request that has run or may have, and whose answer has a head that does not fit.
[[nodiscard]] outgoing_response head_too_large_answer();

/// An error of the server's own; the request has not run. 503 names a time to come back.
[[nodiscard]] outgoing_response refusal(int status, const std::string& kind, const std::string& detail);

} // namespace skylarkseam
