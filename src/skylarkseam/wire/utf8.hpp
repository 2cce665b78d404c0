// Validation of UTF-8 text.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace skylarkseam {

/// Returns the offset of the first invalid UTF-8 sequence; nullopt if the whole text is valid.
[[nodiscard]] std::optional<std::size_t> find_invalid_utf8(std::string_view text);

} // namespace skylarkseam
