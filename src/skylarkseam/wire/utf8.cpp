#include <skylarkseam/wire/utf8.hpp>

#include <simdjson.h>

namespace skylarkseam {
namespace {

/// Returns the start of the character that contains `offset`, but no offset before `min_offset`.
std::size_t character_start(std::string_view text, std::size_t min_offset, std::size_t offset) {
    while (offset > min_offset && (static_cast<unsigned char>(text[offset]) & 0xC0U) == 0x80U) {
        --offset;
    }
    return offset;
}

} // namespace

std::optional<std::size_t> find_invalid_utf8(std::string_view text) {
    if (simdjson::validate_utf8(text.data(), text.size())) {
        return std::nullopt;
    }
    std::size_t valid_length = 0;
    std::size_t invalid_length = text.size();
    while (invalid_length - valid_length > 1) {
        const auto middle =
            character_start(text, valid_length, valid_length + (invalid_length - valid_length) / 2);
        if (middle == valid_length) {
            break;
        }
        (simdjson::validate_utf8(text.data(), middle) ? valid_length : invalid_length) = middle;
    }
    return valid_length;
}

} // namespace skylarkseam
