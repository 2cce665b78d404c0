// SHA-256 digests, as lower-case hexadecimal text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Returns the digest of the bytes as 64 characters.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// Returns the digest of a list of fields. Each field is preceded by its length, so that different lists
/// never give the same bytes.
[[nodiscard]] std::string sha256_hex_of_fields(const std::vector<std::string_view>& fields);

} // namespace skylarkseam
