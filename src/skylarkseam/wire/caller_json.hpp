// JSON bodies exchanged with callers: requests, answers, receipts and errors.
#pragma once

#include <skylarkseam/core/query.hpp>

#include <string>

namespace skylarkseam {

/// Limits on the values in a caller's request body.
struct caller_limits {
    std::uint32_t max_hits = 1000;
};

/// Decodes the body of a query into `request`. Checks the structure, the range of "limit" and the UTF-8
/// encoding.
[[nodiscard]] result<void> decode_query_body(const std::string& body, const caller_limits& limits,
                                             query_request& request);

/// Returns the body of a 200 answer. `receipt_json` must be a JSON object.
[[nodiscard]] std::string encode_answer(const std::string& request_id, const query_answer& answer,
                                        const std::string& receipt_json);

/// Returns the body of a 200 answer with an empty request id and an empty receipt. Outcomes are stored and
/// hashed in this form.
[[nodiscard]] std::string encode_blank_answer(const query_answer& answer);

/// Inserts a request id and a receipt into a body from encode_blank_answer(). Returns any other body
/// unchanged.
[[nodiscard]] std::string complete_answer(const std::string& blank, const std::string& request_id,
                                          const std::string& receipt_json);

[[nodiscard]] std::string encode_error(const error& fault);

/// Returns `text` as a quoted JSON string; invalid UTF-8 is replaced by U+FFFD.
[[nodiscard]] std::string json_text(const std::string& text);

} // namespace skylarkseam
