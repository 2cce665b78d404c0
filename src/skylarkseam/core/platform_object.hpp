// Requests to the platform's object API and their responses, as used by the control code.
#pragma once

#include <skylarkseam/core/error.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkseam {

enum class platform_method { get, list, watch, create, update, remove, list_hosts };

/// One call to the platform. The shell sends each call once and never retries it by itself.
struct platform_request {
    platform_method method = platform_method::get;
    std::string kind;
    std::string name;       ///< Name of the object; empty for list, watch and list_hosts.
    std::string version;    ///< If-Match value of update and remove; start version (exclusive) of a watch.
    std::string value_json; ///< Object value of create and update.
    /// Maximum time that the platform holds a watch open; unused by other calls.
    std::int64_t timeout_ms = 0;
};

struct platform_object {
    std::string kind;
    std::string name;
    std::string version;
    std::string value_json;
    bool deleted = false; ///< Whether the object was deleted; set only in responses to a watch.
};

enum class platform_status {
    ok,
    not_found,
    conflict,        ///< Status 412; nothing was changed.
    version_too_old, ///< Status 410 in response to a watch.
    too_large,
    throttled,   ///< Status 429; nothing was changed.
    unavailable, ///< Status 5xx or no connection. A change may have taken effect unless `not_sent` is set.
};

struct platform_host {
    std::string host;
    std::string zone;
    bool leaving = false;
};

struct platform_response {
    platform_status status = platform_status::unavailable;
    bool not_sent = false; ///< Whether no byte of the request was sent.
    std::string version;   ///< Version of the store; set for list and watch.
    std::vector<platform_object> objects;
    std::vector<platform_host> hosts; ///< Hosts in the response to list_hosts.
    std::string detail;
};

} // namespace skylarkseam
