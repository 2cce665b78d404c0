#include <skylarkseam/cli/operator_session.hpp>
#include <skylarkseam/cli/platform_session.hpp>

namespace skylarkseam {

struct platform_session::impl {
    explicit impl(const std::string& url)
        : operations({url, {}}) {}
    operator_session operations;
};

platform_session::platform_session(const std::string& url)
    : impl_(std::make_unique<impl>(url)) {}

platform_session::~platform_session() = default;

platform_response platform_session::call(const platform_request& request) {
    return impl_->operations.call_platform(request);
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
        return "there is no such object";
    case platform_status::conflict:
        return "the object was changed meanwhile";
    case platform_status::throttled:
        return "the platform refuses calls over its rate";
    case platform_status::unavailable:
        return "the platform did not answer: " + response.detail;
    default:
        return "the platform refused: " + response.detail;
    }
}

} // namespace skylarkseam
