#include <skylarkseam/wire/utf8.hpp>

#include <simdjson.h>

namespace skylarkseam {
namespace {

/// The start of the character that `offset` lies in, at `least` or after.
std::size_t character_start(std::string_view text, std::size_t least, std::size_t offset) {
    while (offset > least && (static_cast<unsigned char>(text[offset]) & 0xC0U) == 0x80U) {
        --offset;
    }
    return offset;
}

} // namespace

std::optional<std::size_t> find_invalid_utf8(std::string_view text) {
    if (simdjson::validate_utf8(text.data(), text.size())) {
        return std::nullopt;
    }
    std::size_t good = 0;
    std::size_t bad = text.size();
    while (bad - good > 1) {
        const auto middle = character_start(text, good, good + (bad - good) / 2);
        if (middle == good) {
            break;
        }
        (simdjson::validate_utf8(text.data(), middle) ? good : bad) = middle;
    }
    return good;
}

} // namespace skylarkseam
