// Names of contents: 128 bits of xxhash, in hexadecimal.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkseam {

/// 32 lower-case hexadecimal digits.
[[nodiscard]] std::string content_hash(std::string_view text);

/// 64 bits, for choices that follow the content.
[[nodiscard]] std::uint64_t short_hash(std::string_view text);

} // namespace skylarkseam
