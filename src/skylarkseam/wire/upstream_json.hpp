// JSON bodies exchanged with searchers.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/owner.hpp>

#include <string>

namespace skylarkseam {

/// Returns the body of POST /search and POST /effect. `query_json` must be a JSON value.
[[nodiscard]] std::string encode_search_body(const std::string& query_json, std::uint32_t limit);

/// Decodes the request id, shard, snapshot and hits of a 200 answer into `answer`. The returned error says
/// which part is invalid.
[[nodiscard]] result<void> decode_search_answer(const std::string& body, upstream_answer& answer);

/// What the body of a searcher's error says of its request; `unknown` if it says nothing.
[[nodiscard]] run_state decode_run_state(const std::string& body);

/// Decodes the answer to GET /health.
[[nodiscard]] result<upstream_health> decode_health(const std::string& body);

} // namespace skylarkseam
