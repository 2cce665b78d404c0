// Requests to the platform's object API and their answers, as the control part uses them.
#pragma once

#include <skylarkseam/core/error.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkseam {

enum class platform_method { get, list, watch, create, update, remove, list_hosts };

/// One call. The shell sends it once and never repeats it on its own.
struct platform_request {
    platform_method method = platform_method::get;
    std::string kind;
    std::string name;            ///< empty for list, watch and list_hosts
    std::string version;         ///< update, remove: If-Match; watch: changes after it
    std::string value_json;      ///< create, update
    std::int64_t timeout_ms = 0; ///< watch only: how long the platform may hold the answer
};

struct platform_object {
    std::string kind;
    std::string name;
    std::string version;
    std::string value_json;
    bool deleted = false; ///< only in the answer to a watch
};

enum class platform_status {
    ok,
    not_found,
    conflict,        ///< 412: nothing was changed
    version_too_old, ///< 410 of a watch
    too_large,
    throttled,   ///< 429: nothing was changed
    unavailable, ///< 5xx or no connection; a change may have taken effect unless `not_sent`
};

struct platform_host {
    std::string host;
    std::string zone;
    bool leaving = false;
};

struct platform_response {
    platform_status status = platform_status::unavailable;
    bool not_sent = false; ///< true: no byte of the request left this node
    std::string version;   ///< of the store, for list and watch
    std::vector<platform_object> objects;
    std::vector<platform_host> hosts; ///< list_hosts only
    std::string detail;
};

} // namespace skylarkseam
