#include <skylarkseam/shell/http_exchange.hpp>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <string_view>

namespace skylarkseam {
namespace {

constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;
/// Memory of a connection that the library spends on each field and cookie beside their bytes.
constexpr std::size_t field_overhead_bytes = 64;
constexpr std::size_t library_overhead_bytes = 256; ///< of a connection's memory, for itself
/// The lines of an answer's head that the library writes itself.
constexpr std::size_t library_head_bytes = 256;
constexpr std::size_t field_line_bytes = 4;  ///< the colon, a blank and the end of the line
constexpr const char* retry_after_s = "0.5"; ///< a few requests' time; fractions are understood

MHD_Result collect_header(void* user, MHD_ValueKind, const char* key, const char* value) {
    auto* const headers = static_cast<std::vector<http_header>*>(user);
    std::string name = key;
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    headers->push_back({std::move(name), value == nullptr ? "" : value});
    return MHD_YES;
}

http_header argument_of(std::string_view field) {
    const auto split = field.find('=');
    const auto value = split == std::string_view::npos ? std::string_view() : field.substr(split + 1);
    http_header out{std::string(field.substr(0, split)), std::string(value)};
    for (auto* const it : {&out.name, &out.value}) {
        std::replace(it->begin(), it->end(), '+', ' ');
        *it = percent_decoded(std::move(*it));
    }
    return out;
}

std::vector<http_header> arguments_of(std::string_view target) {
    std::vector<http_header> out;
    const auto mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        if (end > 0) {
            out.push_back(argument_of(rest.substr(0, end)));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
}

std::string find_value(const std::vector<http_header>& list, const std::string& name) {
    for (const auto& it : list) {
        if (it.name == name) {
            return it.value;
        }
    }
    return {};
}

} // namespace

std::string incoming_request::header(const std::string& name) const {
    return find_value(headers, name);
}

std::string incoming_request::argument(const std::string& name) const {
    return find_value(arguments, name);
}

std::vector<std::string> incoming_request::segments() const {
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin < path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        parts.push_back(percent_decoded(path.substr(begin, end - begin)));
        begin = end + 1;
    }
    return parts;
}

int socket_of(const http_exchange& it) {
    return MHD_get_connection_info(it.connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

void collect_fields(http_exchange& it) {
    MHD_get_connection_values(it.connection, MHD_HEADER_KIND, &collect_header, &it.request.headers);
    it.request.arguments = arguments_of(it.request.target);
}

std::size_t answer_head_room_of(const http_exchange& it, std::size_t connection_memory) {
    const auto* const info = MHD_get_connection_info(it.connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    const auto cookies = MHD_get_connection_values(it.connection, MHD_COOKIE_KIND, nullptr, nullptr);
    const auto fields = it.request.headers.size() + static_cast<std::size_t>(std::max(0, cookies));
    const auto cookie_bytes = cookies > 0 ? it.request.header("cookie").size() : 0;
    const auto used =
        library_overhead_bytes + info->header_size + cookie_bytes + fields * field_overhead_bytes;
    return connection_memory - std::min(used, connection_memory);
}

std::size_t head_size_of(const outgoing_response& response) {
    std::size_t n = library_head_bytes + response.content_type.size();
    for (const auto& it : response.headers) {
        n += it.name.size() + it.value.size() + field_line_bytes;
    }
    return n;
}

outgoing_response head_too_large_answer() {
    outgoing_response response;
    response.status = status_bad_gateway;
    response.body =
        R"({"error":"bad_gateway","ran":"unknown","detail":"the head of the answer is too large"})";
    return response;
}

void keep_arguments_from_library(const char* uri) {
    const auto* const mark = std::strchr(uri, '?');
    if (mark != nullptr && mark[1] != '\0') {
        // The text is in the connection's own buffer, which the library parses after this call.
        const_cast<char*>(mark)[1] = '\0'; // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }
}

std::string percent_decoded(std::string text) {
    const std::size_t n = MHD_http_unescape(text.data());
    text.resize(n);
    return text;
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
