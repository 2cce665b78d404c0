// A caller's request and the answer to it.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/subquery.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// A request as a caller sent it, with the fields checked for shape but not yet against the configuration.
struct query_request {
    std::string caller;
    std::string request_id;
    std::string service;
    std::optional<request_class> cls; ///< the service's where absent
    std::optional<duration> deadline; ///< the service's where absent; never beyond it
    std::string query_json;           ///< the body's "query" value
    std::uint32_t limit = 10;
    std::string idempotency_key; ///< required where the service is not idempotent
};

/// Which shards were truly merged into an answer.
struct coverage {
    std::uint32_t searched = 0;
    std::uint32_t total = 0;
    std::vector<shard_id> missing; ///< ascending; searched + missing.size() == total

    [[nodiscard]] double fraction() const {
        return total == 0 ? 1.0 : static_cast<double>(searched) / static_cast<double>(total);
    }
};

/// One merged dispatch: which owner sent it, and where it stands in that owner's order.
struct dispatch_record {
    std::string owner;
    std::uint64_t sequence = 0;
    shard_id shard = 0;
};

/// Invariant: every hit comes from `snapshot`, and from a shard that the coverage counts as searched.
struct query_answer {
    snapshot_id snapshot = 0;
    coverage covered;
    std::vector<hit> hits;                   ///< by score descending, then id; each id once
    std::vector<dispatch_record> dispatches; ///< of the merged replies
    std::uint32_t first_attempts = 0;
    std::uint32_t extra_attempts = 0;
};

/// The result that stands for an error.
[[nodiscard]] result<query_answer> refused(error reason);

} // namespace skylarkseam
