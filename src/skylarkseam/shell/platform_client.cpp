#include <skylarkseam/shell/platform_client.hpp>
#include <skylarkseam/wire/platform_json.hpp>

namespace skylarkseam {
namespace {

std::string url_of(const std::string& base, const platform_request& request) {
    if (request.method == platform_method::list_hosts) {
        return base + "/hosts";
    }
    std::string url = base + "/objects/" + percent_encoded(request.kind);
    if (!request.name.empty()) {
        url += "/" + percent_encoded(request.name);
    }
    if (request.method == platform_method::watch) {
        url += "?watch=" + percent_encoded(request.version) +
               "&timeout_ms=" + std::to_string(request.timeout_ms);
    }
    return url;
}

http_request to_http(const std::string& base, const platform_request& request, duration timeout) {
    http_request http;
    http.url = url_of(base, request);
    http.timeout = timeout;
    switch (request.method) {
    case platform_method::create:
        http.method = "PUT";
        http.headers = {"If-None-Match: *", "Content-Type: application/json"};
        http.body = R"({"value":)" + request.value_json + "}";
        break;
    case platform_method::update:
        http.method = "PUT";
        http.headers = {"If-Match: " + request.version, "Content-Type: application/json"};
        http.body = R"({"value":)" + request.value_json + "}";
        break;
    case platform_method::remove:
        http.method = "DELETE";
        http.headers = {"If-Match: " + request.version};
        break;
    case platform_method::watch:
        http.timeout = milliseconds(request.timeout_ms) + timeout;
        break;
    case platform_method::get:
    case platform_method::list:
    case platform_method::list_hosts:
        break;
    }
    return http;
}

platform_response to_response(platform_method method, const http_response& http) {
    if (http.status == 0) {
        platform_response response;
        response.not_sent = !http.sent;
        response.detail = http.detail;
        return response;
    }
    return decode_platform_answer(method, http.status, http.body);
}

} // namespace

platform_client::platform_client(http_client& http, std::string url, duration timeout)
    : http_(http)
    , url_(std::move(url))
    , timeout_(timeout) {}

void platform_client::call(const platform_request& request,
                           std::function<void(platform_response)> on_answer) {
    ++calls_;
    const auto method = request.method;
    http_.send(to_http(url_, request, timeout_),
               [method, on_answer = std::move(on_answer)](const http_response& http) {
                   on_answer(to_response(method, http));
               });
}

} // namespace skylarkseam
