// Reads the head of an answer line by line, with the heads of interim answers before it, and checks it.
// libcurl hands out the lines and leaves most of their grammar open.
#pragma once

#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/wire/http_syntax.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Invariant: what it accepts is bounded, however many interim answers and lines of a trailer come.
class answer_head {
public:
    /// Takes one line with its end, and adds its field to `headers`, which a new head clears. Returns the
    /// fault of the line, empty if it has none.
    [[nodiscard]] std::string take_line(std::string_view line, std::vector<http_header>& headers);

    /// Whether the head of a final answer has been read to its end.
    [[nodiscard]] bool complete() const { return state_ == state::complete; }

private:
    enum class state { none, open, interim, complete };

    std::string take_status_line(std::string_view line);
    std::string take_field(std::string_view line, std::vector<http_header>& headers);
    std::string end_head();

    state state_ = state::none;
    bool is_interim_ = false; ///< Whether the head that is open belongs to an interim answer
    std::size_t bytes_ = 0;   ///< Of all lines so far
    head_check fields_;
};

} // namespace skylarkseam
