// The bodies exchanged with searchers.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/owner.hpp>

#include <string>

namespace skylarkseam {

/// The body of POST /search and POST /effect. `query_json` must be a JSON value.
[[nodiscard]] std::string encode_search_body(const std::string& query_json, std::uint32_t limit);

/// Reads a 200 answer's request id, shard, snapshot and hits into `answer`; the error names what is wrong.
[[nodiscard]] result<void> decode_search_answer(const std::string& body, upstream_answer& answer);

/// Reads the answer to GET /health.
[[nodiscard]] result<upstream_health> decode_health(const std::string& body);

} // namespace skylarkseam
