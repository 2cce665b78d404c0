// The messages between the coordinator of a query and the owners of the searchers that answer it.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkseam {

using query_id = std::uint64_t; ///< unique within one incarnation of a coordinator

/// One attempt at one shard on one searcher.
struct subquery {
    shard_id shard = 0;
    std::uint32_t attempt = 0; ///< unique within the query; 0 to n - 1 in the order of sending
    std::string searcher;
    bool extra = false; ///< a hedge or a retry, which the extra-load budget has paid for
};

/// All subqueries of a query that go to one owner at one time.
struct subquery_batch {
    query_id query = 0;
    std::string
        coordinator; ///< node name and incarnation; the first part of every attempt's upstream request id
    std::string caller;
    std::string group;
    request_class cls = request_class::interactive;
    snapshot_id snapshot = 0;
    duration remaining{}; ///< until the deadline, at the time of sending, less the reserve for the hops
    std::string query_json;
    std::uint32_t limit = 0;
    std::string idempotency_key; ///< not empty: an effect, with exactly one subquery, dispatched at most once
    std::vector<subquery> subqueries;
};

/// Withdraws attempts of a query; those not yet dispatched do not run.
struct subquery_cancel {
    query_id query = 0;
    std::vector<std::uint32_t> attempts; ///< empty: all of the query's
    std::string coordinator{};           ///< as in subquery_batch; filled in by the shell
};

/// How an attempt ended, as the owner saw it.
enum class subquery_outcome {
    answered,
    not_run_refused, ///< the owner refused it before dispatch: full queue, deadline, lease or zone
    not_run_shed,    ///< the searcher shed it
    snapshot_not_held,
    shard_not_held,
    failed,    ///< sent, and no usable answer came
    timed_out, ///< sent, and no answer came by the deadline
    cancelled,
};

[[nodiscard]] std::string_view name_of(subquery_outcome outcome);

/// One hit, decoded only as far as the merge needs it.
struct hit {
    std::string id;
    double score = 0.0;
    std::string json; ///< the whole hit as the searcher sent it, a JSON object
};

/// An owner's reply to one attempt.
struct subquery_reply {
    query_id query = 0;
    std::uint32_t attempt = 0;
    shard_id shard = 0;
    snapshot_id snapshot =
        0; ///< the one that the searcher named, which the coordinator compares with its own
    subquery_outcome outcome = subquery_outcome::failed;
    std::uint64_t dispatch_sequence = 0; ///< the owner's order of dispatch; 0 where nothing was dispatched
    duration queued{};                   ///< time in the owner's queue
    duration service{};                  ///< from dispatch to the searcher's answer
    std::vector<snapshot_id>
        held; ///< snapshots that the searcher holds of the shard, as last seen; ascending
    std::vector<hit> hits;
    std::string detail; ///< names the fault where the outcome is not answered
};

/// What an owner tells a coordinator that asks about a group.
struct searcher_status {
    std::string searcher;
    bool takes_work = false;
    std::uint32_t slots = 0; ///< what it may run now: the cold limit while it is cold
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    struct held_shard {
        shard_id shard = 0;
        std::vector<snapshot_id> snapshots; ///< ascending
    };
    std::vector<held_shard> shards;
};

} // namespace skylarkseam
