#include <skylarkseam/control/body_parts.hpp>
#include <skylarkseam/core/content_hash.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::uint64_t mean_lines_per_part = 32;

/// Returns whether a part ends after this line. The result depends on the line only, so that a change
/// elsewhere in the text does not move the boundary.
bool is_last_line_of_part(std::string_view line) {
    return short_hash(line) % mean_lines_per_part == 0;
}

std::string_view first_line(std::string_view text) {
    const auto end = text.find('\n');
    return end == std::string_view::npos ? text : text.substr(0, end + 1);
}

/// Returns the length of the part at the start of `text`.
std::size_t part_length(std::string_view text) {
    std::size_t length = 0;
    while (length < text.size()) {
        const auto line = first_line(text.substr(length));
        if (length > 0 && length + line.size() > max_body_part_bytes) {
            break;
        }
        length += line.size();
        if (is_last_line_of_part(line)) {
            break;
        }
    }
    return std::min(length, max_body_part_bytes);
}

} // namespace

std::vector<body_part> split_into_parts(std::string_view body) {
    std::vector<body_part> parts;
    while (!body.empty()) {
        const auto text = body.substr(0, part_length(body));
        parts.push_back({content_hash(text), text});
        body.remove_prefix(text.size());
    }
    return parts;
}

} // namespace skylarkseam
