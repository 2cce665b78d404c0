// Names of the object kinds over which a kind's objects are spread in the platform.
#pragma once

#include <string>
#include <string_view>

namespace skylarkseam {

/// `prefix` and the bucket's number as two hexadecimal digits.
[[nodiscard]] inline std::string bucket_name(std::string_view prefix, unsigned bucket) {
    constexpr std::string_view digits = "0123456789abcdef";
    return std::string(prefix) + digits[(bucket >> 4U) & 0xFU] + digits[bucket & 0xFU];
}

} // namespace skylarkseam
