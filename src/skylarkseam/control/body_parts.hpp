// Cuts a configuration's canonical text into parts at places that depend on the text alone, so that after a
// small change nearly all parts are the same and peers fetch only the others.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// The longest part in bytes.
inline constexpr std::size_t longest_body_part = 64'000;

/// One part and its name.
struct body_part {
    std::string hash; ///< content_hash of the text
    std::string_view text;
};

/// The parts of `body` in order; together they are the body, which must outlive them.
[[nodiscard]] std::vector<body_part> split_into_parts(std::string_view body);

} // namespace skylarkseam
