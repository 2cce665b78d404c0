#include <skylarkseam/cli/operator_session.hpp>
#include <skylarkseam/cli/platform_session.hpp>

namespace skylarkseam {

struct platform_session::impl {
    explicit impl(const std::string& url)
        : session({url, {}}) {}
    operator_session session;
};

platform_session::platform_session(const std::string& url)
    : impl_(std::make_unique<impl>(url)) {}

platform_session::~platform_session() = default;

platform_response platform_session::call(const platform_request& request) {
    return impl_->session.call_platform(request);
}

platform_response platform_session::get(const std::string& kind, const std::string& name) {
    platform_request request;
    request.method = platform_method::get;
    request.kind = kind;
    request.name = name;
    return call(request);
}

platform_response platform_session::list(const std::string& kind) {
    platform_request request;
    request.method = platform_method::list;
    request.kind = kind;
    return call(request);
}

std::string describe(const platform_response& response) {
    switch (response.status) {
    case platform_status::not_found:
        return "the object does not exist in the platform";
    case platform_status::conflict:
        return "the object was changed by another writer in the meantime";
    case platform_status::throttled:
        return "the platform refused the call because its rate limit is exceeded";
    case platform_status::unavailable:
        return "the platform did not answer: " + response.detail;
    default:
        return "the platform refused the call: " + response.detail;
    }
}

} // namespace skylarkseam
