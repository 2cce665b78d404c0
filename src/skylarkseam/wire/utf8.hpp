// Checks text for valid UTF-8.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace skylarkseam {

/// The offset of the first byte that does not belong to valid UTF-8.
[[nodiscard]] std::optional<std::size_t> find_invalid_utf8(std::string_view text);

} // namespace skylarkseam
