// Calls to the platform's object API over HTTP, one function for all of them.
#pragma once

#include <skylarkseam/core/platform_object.hpp>
#include <skylarkseam/shell/http_client.hpp>

#include <functional>
#include <string>

namespace skylarkseam {

class platform_client {
public:
    /// \param url      of the platform, for instance http://127.0.0.1:7000
    /// \param timeout  of one call; a watch has what the platform may hold it besides
    platform_client(http_client& http, std::string url, duration timeout = seconds(2));

    /// Sends the request once; `on_answer` is called exactly once, from the event loop.
    void call(const platform_request& request, std::function<void(platform_response)> on_answer);

    /// Requests sent since the start: every one counts against the platform's rate, a waiting watch too.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    http_client& http_;
    std::string url_;
    duration timeout_;
    std::uint64_t calls_ = 0;
};

} // namespace skylarkseam
