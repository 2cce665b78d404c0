// A listening HTTP/1.1 front of a stand-in by libmicrohttpd, whose answers may be given later.
#pragma once

#include "standin/http_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkseam::standin {

using text_map = std::map<std::string, std::string, std::less<>>;

struct front_request {
    std::string method;
    std::vector<std::string> segments; ///< of the path, decoded
    text_map headers;                  ///< names in lower case
    text_map arguments;                ///< of the query string, decoded
    std::string body{};
    bool body_too_large = false;
    bool first_on_connection = false;

    /// The value of a header or an argument; empty where there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
    [[nodiscard]] std::string argument(std::string_view name) const;
};

struct front_response {
    int status = 200;
    std::string body{};
    text_map headers{};
    bool drop = false; ///< closes the connection without an answer

    [[nodiscard]] static front_response dropped();
};

/// Gives the answer to one request, at once or later; called exactly once.
using front_reply = std::function<void(front_response)>;

struct front_options {
    std::uint16_t port = 0;                 ///< 0 takes a free one
    std::size_t body_bytes = 4U << 20U;     ///< longer bodies are marked as too large
    std::function<bool()> accepts_new = {}; ///< whether a new connection is taken; empty: always
};

class http_front {
public:
    using handler = std::function<void(front_request, front_reply)>;

    /// Listens on 127.0.0.1; throws std::runtime_error where it cannot.
    http_front(http_loop& loop, front_options options, handler on_request);
    ~http_front();
    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    /// 127.0.0.1:port.
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::size_t connections() const;

    /// Closes every open connection, as the end of the process would.
    void reset_connections();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam::standin
