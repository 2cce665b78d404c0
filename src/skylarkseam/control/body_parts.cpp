#include <skylarkseam/control/body_parts.hpp>
#include <skylarkseam/control/content_hash.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::uint64_t lines_in_a_part = 32; ///< on average

/// Whether a part ends after this line. It depends on the line alone.
bool ends_part(std::string_view line) {
    return short_hash(line) % lines_in_a_part == 0;
}

std::string_view first_line(std::string_view text) {
    const auto end = text.find('\n');
    return end == std::string_view::npos ? text : text.substr(0, end + 1);
}

/// The length of the part that `text` begins with.
std::size_t part_length(std::string_view text) {
    std::size_t length = 0;
    while (length < text.size()) {
        const auto line = first_line(text.substr(length));
        if (length > 0 && length + line.size() > longest_body_part) {
            break;
        }
        length += line.size();
        if (ends_part(line)) {
            break;
        }
    }
    return std::min(length, longest_body_part);
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
