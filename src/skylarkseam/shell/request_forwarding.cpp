#include <skylarkseam/core/content_hash.hpp>
#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/request_forwarding.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace skylarkseam {
namespace {

constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
/// Longest time for which a searcher may ask to get no requests. A longer one would leave it unused after a
/// mistake, since only its restart ends it.
constexpr double max_back_off_seconds = 300.0;
constexpr std::array<std::string_view, 9> connection_headers{
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "proxy-connection"};
constexpr std::array<std::string_view, 2> framing_headers{"content-length", "expect"};

std::string lower_case(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

template <std::size_t Size>
bool is_one_of(const std::array<std::string_view, Size>& list, std::string_view name) {
    return std::find(list.begin(), list.end(), name) != list.end();
}

/// Whether a Connection header names `name`, so that it concerns that connection only.
bool is_listed(const std::string& connection, std::string_view name) {
    std::size_t begin = 0;
    while (begin < connection.size()) {
        const auto end = std::min(connection.find(',', begin), connection.size());
        auto item = connection.substr(begin, end - begin);
        std::erase_if(item, [](char c) { return c == ' ' || c == '\t'; });
        if (lower_case(item) == name) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

void append_header(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

std::optional<duration> parse_ms(const std::string& text) {
    std::int64_t ms = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || ms < 0) {
        return std::nullopt;
    }
    return milliseconds(ms);
}

/// A finite decimal number that is not negative.
std::optional<double> parse_decimal(const std::string& text) {
    double value = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() &&
                       std::isfinite(value) && value >= 0.0;
    return valid ? std::optional(value) : std::nullopt;
}

/// The time that a searcher's refusal asks for; absent where it names none. A value that is not a number of
/// seconds is logged and ignored, one that is too long is logged and shortened.
std::optional<duration> parse_back_off(const upstream_response& response) {
    const auto* const text = response.header("Retry-After");
    if (response.status != status_unavailable || text == nullptr) {
        return std::nullopt;
    }
    const auto value = parse_decimal(*text);
    if (!value) {
        log_event(log_level::warning, "retry_after_ignored", {{"value", *text}});
        return std::nullopt;
    }
    if (*value > max_back_off_seconds) {
        log_event(log_level::warning, "retry_after_shortened", {{"value", *text}});
    }
    return milliseconds(static_cast<std::int64_t>(std::min(*value, max_back_off_seconds) * 1000.0));
}

/// The requests a second that a searcher accepts; absent where it states no limit. A value that is not a
/// number of requests is logged and ignored.
std::optional<double> parse_rate_limit(const upstream_response& response, const http_dialect& names) {
    const auto* const text = response.header(names.rate_limit);
    if (text == nullptr) {
        return std::nullopt;
    }
    const auto value = parse_decimal(*text);
    if (!value) {
        log_event(log_level::warning, "rate_limit_ignored", {{"value", *text}});
    }
    return value;
}

/// Whether a response states that the request has not run: by the header for it, or since a searcher answers
/// that is not the one for which the request is meant.
bool states_not_run(const upstream_response& response, const std::string& searcher,
                    const http_dialect& names) {
    if (response.header(names.not_run) != nullptr) {
        return true;
    }
    const auto* const answering = response.header(names.searcher_id);
    return response.status == status_misdirected && answering != nullptr && !answering->empty() &&
           *answering != searcher;
}

/// Seconds with three decimals, as Retry-After takes them here.
std::string to_seconds(duration value) {
    std::array<char, 32> buf{};
    const auto ms = to_ms(value);
    std::snprintf(buf.data(), buf.size(), "%lld.%03lld", static_cast<long long>(ms / 1000),
                  static_cast<long long>(ms % 1000));
    return buf.data();
}

/// Hash of what a client repeats when it sends a request again: the request without its ID and its time. The
/// credentials belong to it, because they name the client account.
std::string fingerprint_of(const incoming_request& request) {
    std::string text;
    for (const auto& it : {request.method, request.header("host"), request.target,
                           request.header("authorization"), request.body}) {
        text.append(std::to_string(it.size())).append(":").append(it);
    }
    return content_hash(text);
}

struct response_of {
    const http_dialect& names;

    outgoing_response operator()(gateway_answer::forwarded& it) const {
        outgoing_response out;
        out.status = it.response.status;
        out.content_type.clear();
        out.body = std::move(it.response.body);
        for (auto& header : it.response.headers) {
            out.headers.push_back({std::move(header.name), std::move(header.value)});
        }
        return out;
    }

    outgoing_response operator()(gateway_answer::merged& it) const {
        outgoing_response out;
        out.content_type = "application/octet-stream";
        out.body = std::move(it.body);
        std::string proofs;
        for (const auto& proof : it.proofs) {
            proofs += proofs.empty() ? proof : ", " + proof;
        }
        out.headers.push_back({names.part_proofs, std::move(proofs)});
        out.headers.push_back({names.missing_parts, std::to_string(it.missing)});
        return out;
    }

    outgoing_response operator()(gateway_answer::relayed& it) const {
        outgoing_response out;
        out.status = it.status;
        out.content_type = std::move(it.content_type);
        out.body = std::move(it.body);
        for (auto& header : it.headers) {
            out.headers.push_back({std::move(header.name), std::move(header.value)});
        }
        return out;
    }

    outgoing_response operator()(gateway_answer::refused& it) const {
        outgoing_response out;
        out.status = it.status;
        out.body = R"({"error":")" + std::string(name_of(it.reason)) + "\"}";
        if (it.retry_after > duration::zero()) {
            out.headers.push_back({"Retry-After", to_seconds(it.retry_after)});
        }
        return out;
    }
};

} // namespace

gateway_request to_gateway_request(const incoming_request& request, const http_dialect& names) {
    gateway_request out;
    out.token = request.id;
    out.id = request.header(names.request_id);
    out.host = request.header("host");
    out.path = request.path;
    out.time_left = parse_ms(request.header(names.time_left));
    out.round_trip = request.round_trip;
    out.fingerprint = fingerprint_of(request);
    return out;
}

upstream_request to_upstream_request(const incoming_request& request, const http_dialect& names,
                                     const std::string& searcher, duration time_left) {
    upstream_request out;
    out.is_head = request.method == "HEAD";
    out.echo_header = names.request_id;
    out.searcher = searcher;
    const auto connection = request.header("connection");
    bool had_body = !request.body.empty();
    out.bytes.reserve(request.target.size() + request.body.size() + 512);
    out.bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto& it : request.headers) {
        if (it.name == names.request_id) {
            out.echo_value = it.value;
        }
        had_body = had_body || it.name == "content-length" || it.name == "transfer-encoding";
        const bool ours = it.name == names.time_left || it.name == names.expected_id;
        if (ours || is_one_of(connection_headers, it.name) || is_one_of(framing_headers, it.name) ||
            is_listed(connection, it.name)) {
            continue;
        }
        append_header(out.bytes, it.name, it.value);
    }
    append_header(out.bytes, names.time_left, std::to_string(std::max<std::int64_t>(1, to_ms(time_left))));
    append_header(out.bytes, names.expected_id, searcher);
    if (had_body) {
        append_header(out.bytes, "content-length", std::to_string(request.body.size()));
    }
    out.bytes.append("\r\n").append(request.body);
    return out;
}

attempt_result to_attempt_result(upstream_result result, const http_dialect& names) {
    attempt_result out;
    out.connect_time = result.connect_time;
    out.detail = std::move(result.detail);
    if (!result.response) {
        out.outcome = result.sent ? attempt_outcome::broken : attempt_outcome::not_sent;
        out.connection_lost = result.sent && result.fault == connection_fault::lost;
        out.connection_refused = !result.sent && result.fault == connection_fault::refused;
        return out;
    }
    auto& response = *result.response;
    const bool not_run = states_not_run(response, result.searcher, names);
    if (response.status == status_misdirected) {
        // It says nothing more: it may come from another searcher.
        out.outcome = not_run ? attempt_outcome::replaced : attempt_outcome::answered;
        out.response.status = response.status;
        return out;
    }
    const auto* const leaving = response.header(names.leaving);
    out.searcher_leaving = leaving != nullptr && *leaving == "1";
    out.back_off = parse_back_off(response);
    out.rate_limit = parse_rate_limit(response, names);
    if (not_run) {
        out.outcome = attempt_outcome::refused;
        out.detail = "status " + std::to_string(response.status);
        return out;
    }
    out.outcome = attempt_outcome::answered;
    out.response.status = response.status;
    const auto* const proof = response.header(names.proof);
    out.response.proof = proof == nullptr ? std::string() : *proof;
    out.response.encoded = response.header("Content-Encoding") != nullptr;
    const auto* const listed = response.header("Connection");
    const std::string connection = listed == nullptr ? std::string() : *listed;
    for (auto& it : response.headers) {
        const auto name = lower_case(it.name);
        if (!is_one_of(connection_headers, name) && !is_one_of(framing_headers, name) &&
            !is_listed(connection, name)) {
            out.response.headers.push_back({std::move(it.name), std::move(it.value)});
        }
    }
    out.response.body = std::move(response.body);
    return out;
}

outgoing_response to_client_response(any_answer answer, const http_dialect& names) {
    return std::visit(response_of{names}, answer);
}

} // namespace skylarkseam
