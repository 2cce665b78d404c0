// Encoding of the messages between coordinators and owners in MessagePack. Each message is an array whose
// first element is the codec version.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/subquery.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

[[nodiscard]] std::string encode(const subquery_batch& batch);
[[nodiscard]] std::string encode(const subquery_cancel& cancel);
[[nodiscard]] std::string encode(const subquery_reply& reply);
[[nodiscard]] std::string encode(const std::vector<searcher_status>& status);

// Each decoder returns protocol_violation if the bytes are truncated, of another version, or have a value out
// of range. Decoders never throw.
[[nodiscard]] result<subquery_batch> decode_subquery_batch(std::string_view bytes);
[[nodiscard]] result<subquery_cancel> decode_subquery_cancel(std::string_view bytes);
[[nodiscard]] result<subquery_reply> decode_subquery_reply(std::string_view bytes);
[[nodiscard]] result<std::vector<searcher_status>> decode_searcher_status(std::string_view bytes);

} // namespace skylarkseam
