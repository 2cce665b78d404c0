#include <skylarkseam/wire/http_syntax.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr int first_status = 100;
constexpr int last_status = 599;
constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";
constexpr std::string_view blanks = " \t";

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_letter(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool is_token_character(char c) {
    return is_digit(c) || is_letter(c) || token_marks.find(c) != std::string_view::npos;
}

bool is_control(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7F;
}

/// \param lower_case  what `text` is compared with
bool is_same_word(std::string_view text, std::string_view lower_case) {
    const auto same = [](char a, char b) { return a == b || (is_letter(a) && (a | 0x20) == b); };
    return std::equal(text.begin(), text.end(), lower_case.begin(), lower_case.end(), same);
}

} // namespace

bool is_status(int status) {
    return status >= first_status && status <= last_status;
}

bool is_field_name(std::string_view name) {
    return !name.empty() && std::all_of(name.begin(), name.end(), &is_token_character);
}

bool is_field_value(std::string_view value) {
    const bool padded = !value.empty() && (blanks.find(value.front()) != std::string_view::npos ||
                                           blanks.find(value.back()) != std::string_view::npos);
    return !padded && std::none_of(value.begin(), value.end(), &is_control);
}

std::string head_check::take_field(std::string_view name, std::string_view value) {
    if (!is_field_name(name)) {
        return "the name of a field is no token";
    }
    if (!is_field_value(value)) {
        return "the value of field " + std::string(name) + " holds a control byte";
    }
    if (is_same_word(name, "content-length")) {
        const bool number = !value.empty() && std::all_of(value.begin(), value.end(), &is_digit);
        if (!number || chunked_ || (length_ && *length_ != value)) {
            return "the length of the body is stated as \"" + std::string(value) + "\"";
        }
        length_ = std::string(value);
    } else if (is_same_word(name, "transfer-encoding")) {
        if (!is_same_word(value, "chunked") || chunked_ || length_) {
            return "the body has the transfer coding \"" + std::string(value) + "\"";
        }
        chunked_ = true;
    }
    return {};
}

} // namespace skylarkseam
