// Reads one HTTP response from bytes that arrive in pieces, with Boost.Beast's parser.
#pragma once

#include <skylarkseam/shell/answer_memory.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

struct upstream_header {
    std::string name; ///< as the searcher wrote it
    std::string value;
};

/// A whole response.
struct upstream_response {
    int status = 0;
    std::vector<upstream_header> headers;
    std::string body;

    /// The value of the first header of that name, whatever its case; nullptr where there is none.
    [[nodiscard]] const std::string* header(std::string_view name) const;
};

enum class reading_state { incomplete, complete, failed };

/// Invariant: bytes after the end of a response are never taken as part of it.
class response_reader {
public:
    /// \param body_limit  bytes of a body; a longer one makes the response fail
    /// \param memory  shared with other readers and longer-lived; null if only `body_limit` bounds the
    /// response
    explicit response_reader(std::size_t body_limit, answer_memory* memory = nullptr);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Forgets everything, for the next response. \param to_head  it has no body whatever it states
    void reset(bool to_head);
    reading_state add(std::string_view bytes);
    /// The other side has closed the connection.
    reading_state add_end();
    [[nodiscard]] const std::string& fault() const;

    /// The response, once it is complete.
    [[nodiscard]] upstream_response take();
    /// Whether the connection can be used again: the response says so and nothing followed it.
    [[nodiscard]] bool keeps_connection() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
