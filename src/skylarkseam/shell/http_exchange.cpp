#include <skylarkseam/shell/http_exchange.hpp>

#include <algorithm>
#include <cctype>

namespace skylarkseam {
namespace {

constexpr int status_unavailable = 503;
constexpr const char* retry_after_s = "0.5"; ///< a few requests' time; fractions are understood

MHD_Result collect_header(void* user, MHD_ValueKind, const char* key, const char* value) {
    auto* const headers = static_cast<std::vector<http_header>*>(user);
    std::string name = key;
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    headers->push_back({std::move(name), value == nullptr ? "" : value});
    return MHD_YES;
}

MHD_Result collect_argument(void* user, MHD_ValueKind, const char* key, const char* value) {
    auto* const arguments = static_cast<std::vector<http_header>*>(user);
    arguments->push_back({key, value == nullptr ? "" : value});
    return MHD_YES;
}

} // namespace

int socket_of(const http_exchange& it) {
    return MHD_get_connection_info(it.connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

void collect_fields(http_exchange& it) {
    MHD_get_connection_values(it.connection, MHD_HEADER_KIND, &collect_header, &it.request.headers);
    MHD_get_connection_values(it.connection, MHD_GET_ARGUMENT_KIND, &collect_argument, &it.request.arguments);
}

outgoing_response refusal(int status, const std::string& kind, const std::string& detail) {
    outgoing_response response;
    response.status = status;
    response.body = R"({"error":")" + kind + R"(","ran":"no","detail":")" + detail + "\"}";
    if (status == status_unavailable) {
        response.headers.push_back({"Retry-After", retry_after_s});
    }
    return response;
}

} // namespace skylarkseam
