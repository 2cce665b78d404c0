// The grammar of the heads of HTTP/1.1 answers, as strict as a client has to be with servers that may be
// faulty. The parsers in use leave parts of it open.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace skylarkseam {

/// Whether an answer may have that status: 100 to 599.
[[nodiscard]] bool is_status(int status);
/// Whether a field may have that name: a token.
[[nodiscard]] bool is_field_name(std::string_view name);
/// Whether a field may have that value, without the blanks around it. It holds no control byte but tabs.
[[nodiscard]] bool is_field_value(std::string_view value);

/// Checks the fields of one head, each by itself and for what they state together of the body.
class head_check {
public:
    /// Returns the fault of a field, empty if it has none.
    [[nodiscard]] std::string take_field(std::string_view name, std::string_view value);
    /// Whether the fields state the length or the coding of a body, which an interim answer does not have.
    [[nodiscard]] bool states_body() const { return length_.has_value() || chunked_; }

private:
    std::optional<std::string> length_;
    bool chunked_ = false;
};

} // namespace skylarkseam
