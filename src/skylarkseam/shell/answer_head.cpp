#include <skylarkseam/shell/answer_head.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace skylarkseam {
namespace {

/// Bytes of the heads of an answer, with those of interim answers, and of its trailer.
constexpr std::size_t max_bytes = 64U << 10U;
constexpr int status_switching = 101;
constexpr int status_ok = 200;
constexpr std::size_t status_digits = 3;
constexpr std::string_view blanks = " \t";

std::string lower_case(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// The status of a status line; nothing if it is none, or announces another protocol.
std::optional<int> status_of(std::string_view line) {
    constexpr std::string_view version = "HTTP/1.";
    const auto at = version.size();
    if (!line.starts_with(version) || line.size() < at + 2 + status_digits ||
        (line[at] != '0' && line[at] != '1') || line[at + 1] != ' ') {
        return std::nullopt;
    }
    const auto digits = line.substr(at + 2, status_digits);
    const auto reason = line.substr(at + 2 + status_digits);
    int status = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), status);
    const bool is_number = parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
    const bool ends = reason.empty() || (reason.front() == ' ' && is_field_value(trimmed(reason)));
    const bool valid = is_number && ends && is_status(status) && status != status_switching;
    return valid ? std::optional(status) : std::nullopt;
}

} // namespace

std::string answer_head::take_line(std::string_view line, std::vector<http_header>& headers) {
    bytes_ += line.size();
    if (bytes_ > max_bytes) {
        return "the head is longer than " + std::to_string(max_bytes) + " bytes";
    }
    while (line.ends_with('\n') || line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    switch (state_) {
    case state::complete: // a trailer, which is not used
        return {};
    case state::none:
    case state::interim:
        headers.clear();
        return take_status_line(line);
    case state::open:
        return line.empty() ? end_head() : take_field(line, headers);
    }
    return {};
}

std::string answer_head::take_status_line(std::string_view line) {
    const auto status = status_of(line);
    if (!status) {
        return "the status line is malformed";
    }
    state_ = state::open;
    is_interim_ = *status < status_ok;
    fields_ = {};
    return {};
}

std::string answer_head::take_field(std::string_view line, std::vector<http_header>& headers) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return "a line of the head has no colon";
    }
    const auto name = line.substr(0, colon);
    const auto value = trimmed(line.substr(colon + 1));
    auto fault = fields_.take_field(name, value);
    if (fault.empty()) {
        headers.push_back({lower_case(name), std::string(value)});
    }
    return fault;
}

std::string answer_head::end_head() {
    state_ = is_interim_ ? state::interim : state::complete;
    return is_interim_ && fields_.states_body() ? "an interim answer states a body" : std::string();
}

} // namespace skylarkseam
