// A caller's query and its answer.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/subquery.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// A request as received from a caller. The format of its fields is validated, but not yet their values
/// against the configuration.
struct query_request {
    std::string caller;
    std::string request_id;
    std::string service;
    std::optional<request_class> cls; ///< Priority of the query; defaults to the service's.
    std::optional<duration> deadline; ///< Deadline; defaults to the service's, which is also its upper bound.
    std::string query_json;           ///< Value of the "query" member of the request body.
    std::uint32_t limit = 10;
    std::string idempotency_key; ///< Idempotency key; required if the service is not idempotent.
};

/// The shards that are merged into an answer, and those that are missing from it.
struct coverage {
    std::uint32_t searched = 0;
    std::uint32_t total = 0;
    std::vector<shard_id> missing; ///< Missing shards in ascending order; searched + missing.size() == total.

    [[nodiscard]] double fraction() const {
        return total == 0 ? 1.0 : static_cast<double>(searched) / static_cast<double>(total);
    }
};

/// Dispatch of a merged reply: the owner that sent it and its position in that owner's dispatch order.
struct dispatch_record {
    std::string owner;
    std::uint64_t sequence = 0;
    shard_id shard = 0;
};

/// Invariant: every hit comes from `snapshot` and from a shard that `covered` counts as searched.
struct query_answer {
    snapshot_id snapshot = 0;
    coverage covered;
    std::vector<hit> hits;                   ///< Hits by descending score, then by id; ids are unique.
    std::vector<dispatch_record> dispatches; ///< Dispatches of the merged replies.
    std::uint32_t first_attempts = 0;
    std::uint32_t extra_attempts = 0;
};

/// Returns the failed result for an error.
[[nodiscard]] result<query_answer> refused(error reason);

} // namespace skylarkseam
