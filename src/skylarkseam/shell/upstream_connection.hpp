// One connection to a searcher, HTTP/1.1 with one request at a time, parsed by Boost.Beast. libcurl does not
// fit here: it sends a request again by itself when a kept connection turns out closed, and does not look at
// a connection that is idle, so that stray bytes on it would be taken for the next answer.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>
#include <skylarkseam/shell/response_reader.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace skylarkseam {

struct upstream_request {
    std::string bytes;       ///< of the whole request
    bool is_head = false;    ///< its answer has no body whatever it states
    std::string echo_header; ///< an answer that names another value there belongs to another request
    std::string echo_value;
    std::string searcher{}; ///< ID of the searcher that the request is meant for
};

/// Why no whole response came, as far as it says something of the searcher's process.
enum class connection_fault {
    other,
    refused, ///< nothing listens at the address
    lost,    ///< the searcher closed or reset the connection
};

/// How a request on a connection ended.
struct upstream_result {
    std::optional<upstream_response> response; ///< absent: no whole response came
    bool sent = false;                         ///< a byte of the request was handed to the connection
    std::optional<duration> connect_time{};    ///< where the connection was opened for this request
    connection_fault fault = connection_fault::other;
    std::string detail;     ///< names the fault where there is no response
    std::string searcher{}; ///< of the request
};

/// Invariants: a request is sent at most once; a connection that had bytes nobody asked for, an answer in
/// doubt or a request that was not written whole is closed and not used again. A response is whole only if
/// its framing says so, or if it has no length and recv() reported the end before any error.
class upstream_connection {
public:
    struct handlers {
        std::function<void()> on_sending; ///< a request that waited for the connection to open goes out
        std::function<void(upstream_result)> on_result; ///< of the request that was sent last
        std::function<void()> on_closed;                ///< it cannot be used any more; called once
    };

    /// \param settle_time  for which the connection is watched, once open, before the first request is sent
    /// \param memory  for the answers on all connections, longer-lived than this one; null if it is not
    /// shared
    upstream_connection(event_loop& loop, const std::string& address, std::size_t body_limit,
                        handlers callbacks, duration settle_time = duration::zero(),
                        answer_memory* memory = nullptr);
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    /// Sends one request, once the connection is open; only while idle().
    void send(upstream_request request);

    [[nodiscard]] bool idle() const;
    [[nodiscard]] bool open() const;
    /// Whether it may still be used at `now`: the searcher closes idle connections after a stated time.
    [[nodiscard]] bool usable(time_point now) const;

    /// Closes it without calling back.
    void close();

    /// Ends the request with a fault, where the connection has not opened in time.
    void fail_if_connecting(const std::string& detail);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
