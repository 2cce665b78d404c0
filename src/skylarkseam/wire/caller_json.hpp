// The bodies exchanged with callers: requests, answers, receipts and errors.
#pragma once

#include <skylarkseam/core/query.hpp>

#include <string>

namespace skylarkseam {

/// What a caller's body may ask for.
struct caller_limits {
    std::uint32_t most_hits = 1000;
};

/// Reads the body of a query into `request`. Checks the form, the range of "limit", and that the text is
/// UTF-8.
[[nodiscard]] result<void> decode_query_body(const std::string& body, const caller_limits& limits,
                                             query_request& request);

/// The body of a 200 answer. `receipt_json` is a JSON object.
[[nodiscard]] std::string encode_answer(const std::string& request_id, const query_answer& answer,
                                        const std::string& receipt_json);

/// The body of a 200 answer with an empty request id and an empty receipt, as outcomes are stored and
/// digested.
[[nodiscard]] std::string encode_blank_answer(const query_answer& answer);

/// Fills the request id and the receipt of a body from encode_blank_answer().
[[nodiscard]] std::string complete_answer(const std::string& blank, const std::string& request_id,
                                          const std::string& receipt_json);

[[nodiscard]] std::string encode_error(const error& fault);

/// A text as a JSON string, quotes included; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string json_text(const std::string& text);

} // namespace skylarkseam
