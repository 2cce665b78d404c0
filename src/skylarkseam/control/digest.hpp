// SHA-256 digests, as lower-case hexadecimal text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Digest of the bytes, 64 characters.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// Digest of a list of fields. Each is preceded by its length, so that no two lists share their bytes.
[[nodiscard]] std::string sha256_hex_of_fields(const std::vector<std::string_view>& fields);

} // namespace skylarkseam
