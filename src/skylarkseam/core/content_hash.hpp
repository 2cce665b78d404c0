// Non-cryptographic hashes of texts, computed with xxHash.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkseam {

/// Returns the 128-bit hash as 32 lower-case hexadecimal digits; it serves as the name of the text.
[[nodiscard]] std::string content_hash(std::string_view text);

/// Returns the 64-bit hash, for decisions that depend on the content only.
[[nodiscard]] std::uint64_t short_hash(std::string_view text);

} // namespace skylarkseam
