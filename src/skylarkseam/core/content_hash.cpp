#include <skylarkseam/core/content_hash.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace skylarkseam {

std::string content_hash(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    XXH128_canonical_t canonical{};
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
    std::string hex;
    for (const auto byte : canonical.digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0x0FU];
    }
    return hex;
}

std::uint64_t short_hash(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

} // namespace skylarkseam
