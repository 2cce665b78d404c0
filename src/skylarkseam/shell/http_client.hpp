// HTTP requests by libcurl's multi interface, driven by the event loop.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkseam {

struct http_request {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< "Name: value"
    std::string body;
    duration timeout = seconds(5);
    /// Sent on a connection of its own, which libcurl never sends again on: it repeats a request only where a
    /// kept connection turns out to be closed. Needed for whatever must not run twice.
    bool never_resend = false;
};

struct http_header {
    std::string name; ///< lower case
    std::string value;
};

struct http_response {
    int status = 0; ///< 0: no answer
    std::vector<http_header> headers;
    std::string body;
    bool sent = true;   ///< false: no byte of the request left this process
    bool reset = false; ///< the connection was closed or reset under the request
    bool timed_out = false;
    std::string detail; ///< names the fault where there is no answer

    [[nodiscard]] std::string header(const std::string& name) const;
};

using http_call_id = std::uint64_t;

class http_client {
public:
    /// \param answer_limit  bytes of an answer's body; a longer one counts as no answer
    explicit http_client(event_loop& loop, std::size_t answer_limit = 16U << 20U);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request once, with no retry of its own. `on_answer` is called exactly once, from the event
    /// loop, unless the call is aborted. A connection with an answer in doubt is closed and not used again.
    http_call_id send(http_request request, std::function<void(http_response)> on_answer);

    /// Gives a call up and closes its connection.
    void abort(http_call_id id);

    [[nodiscard]] std::size_t open_calls() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
