// HTTP/1.1 towards callers, operators and tests: libmicrohttpd, driven by the event loop. Answers may be
// given later.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>
#include <skylarkseam/shell/http_client.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// Limits of what a client may send, each a setting.
struct http_limits {
    std::size_t body_bytes = 1U << 20U;
    std::size_t header_bytes = 32U << 10U; ///< of one request, its first line included
    std::uint32_t connections = 4096;
    std::uint32_t open_requests = 16384;   ///< answered with 503 beyond
    std::size_t held_bytes = 64U << 20U;   ///< of bodies and answers that are open; answered with 503 beyond
    duration header_timeout = seconds(30); ///< from the first line to the last header; answered with 408
    duration idle_timeout = seconds(60);   ///< without a byte on a connection
};

struct incoming_request {
    std::uint64_t id = 0; ///< unique within the server
    std::string method;
    std::string target; ///< as the client wrote it, with the query string
    std::string path;   ///< without the query string, percent-encoded segments as they came
    std::string body;
    std::vector<http_header> headers;   ///< names in lower case
    std::vector<http_header> arguments; ///< of the query string, decoded
    std::optional<duration> round_trip; ///< to the client and back; absent if it is not known

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string argument(const std::string& name) const;
    /// The decoded segments of the path.
    [[nodiscard]] std::vector<std::string> segments() const;
};

struct outgoing_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json"; ///< empty: the headers name it, or none is known
    std::vector<http_header> headers;
    bool close = false; ///< the connection ends after this answer
};

/// Answers one request, at once or later; called exactly once. Safe to call after the client has gone.
using respond = std::function<void(outgoing_response)>;

class http_server {
public:
    using handler = std::function<void(incoming_request request, respond answer)>;

    /// Called for a request whose client has closed its connection before the answer.
    using gone_handler = std::function<void(std::uint64_t request_id)>;

    http_server(event_loop& loop, http_limits limits, handler on_request, gone_handler on_gone = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on ip:port; port 0 takes a free one. Returns the address in use; throws std::runtime_error.
    std::string listen(const std::string& address);

    /// Closes the listening socket; connections that are open go on.
    void stop_listening();

    /// What holds for each request from now on.
    void set_client_limits(std::size_t body_bytes, duration header_timeout, duration idle_timeout);

    /// Requests that were refused for their size or form.
    [[nodiscard]] std::uint64_t rejected() const;
    [[nodiscard]] std::size_t open_requests() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
