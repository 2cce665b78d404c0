// Blocking calls to the platform, for commands that make one call at a time.
#pragma once

#include <skylarkseam/core/platform_object.hpp>

#include <memory>
#include <string>

namespace skylarkseam {

class platform_session {
public:
    explicit platform_session(const std::string& url);
    ~platform_session();
    platform_session(const platform_session&) = delete;
    platform_session& operator=(const platform_session&) = delete;

    /// Sends the request once, without retries, and waits for the response.
    platform_response call(const platform_request& request);

    platform_response get(const std::string& kind, const std::string& name);
    platform_response list(const std::string& kind);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Error message for a response other than ok.
[[nodiscard]] std::string describe(const platform_response& response);

} // namespace skylarkseam
