#include <skylarkseam/cli/platform_session.hpp>
#include <skylarkseam/shell/platform_client.hpp>

namespace skylarkseam {

struct platform_session::impl {
    explicit impl(const std::string& url)
        : platform(http, url) {}
    event_loop loop;
    http_client http{loop};
    platform_client platform;
};

platform_session::platform_session(const std::string& url)
    : impl_(std::make_unique<impl>(url)) {}

platform_session::~platform_session() = default;

platform_response platform_session::call(const platform_request& request) {
    constexpr duration longest_wait = milliseconds(100);
    platform_response answer;
    bool answered = false;
    impl_->platform.call(request, [&](platform_response response) {
        answer = std::move(response);
        answered = true;
    });
    while (!answered) {
        impl_->loop.run_once(longest_wait);
    }
    return answer;
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
