// Splits a configuration's canonical text into parts by content-defined chunking: the boundaries depend on
// the text only, so a small change leaves nearly all parts as they were and peers fetch only the changed
// ones.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Maximum size of a part.
inline constexpr std::size_t max_body_part_bytes = 64'000;

/// Part of a body with the hash by which peers request it.
struct body_part {
    std::string hash; ///< Result of content_hash for `text`.
    std::string_view text;
};

/// Splits `body` into consecutive parts that cover it. They refer to its text, so `body` must outlive them.
[[nodiscard]] std::vector<body_part> split_into_parts(std::string_view body);

} // namespace skylarkseam
