// The messages between the coordinator of a query and the owners of the queried searchers.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkseam {

using query_id = std::uint64_t; ///< Query number; unique within one incarnation of a coordinator.

/// One attempt to query one shard at one searcher.
struct subquery {
    shard_id shard = 0;
    std::uint32_t attempt = 0; ///< Attempt number; consecutive from 0 within the query, in sending order.
    std::string searcher;
    bool extra = false; ///< Whether the attempt is a hedge or retry charged to the extra-load budget.
};

/// Subqueries of one query that are sent together to one owner.
struct subquery_batch {
    query_id query = 0;
    /// Node name and incarnation of the coordinator. Every upstream request id of the query starts with it.
    std::string coordinator;
    std::string caller;
    std::string group;
    request_class cls = request_class::interactive;
    snapshot_id snapshot = 0;
    duration remaining{}; ///< Time left at sending until the deadline, minus the reserve for network hops.
    std::string query_json;
    std::uint32_t limit = 0;
    /// Non-empty for an effect (a non-idempotent request): the batch has one subquery, dispatched at most
    /// once.
    std::string idempotency_key;
    std::vector<subquery> subqueries;
};

/// Cancels attempts of a query. Attempts that are not dispatched yet do not run.
struct subquery_cancel {
    query_id query = 0;
    std::vector<std::uint32_t> attempts; ///< Attempts to cancel; empty cancels all attempts of the query.
    std::string coordinator{};           ///< Same value as in subquery_batch; set by the shell.
};

/// Outcome of an attempt as observed by the owner.
enum class subquery_outcome {
    answered,
    not_run_refused, ///< The owner rejected it before dispatch: full queue, deadline, lease or zone.
    not_run_shed,    ///< The searcher rejected it by load shedding.
    snapshot_not_held,
    shard_not_held,
    failed,    ///< Sent to the searcher without a usable answer.
    timed_out, ///< Sent to the searcher without an answer by the deadline.
    cancelled,
};

[[nodiscard]] std::string_view name_of(subquery_outcome outcome);

/// Search hit; only the fields needed for the merge are decoded.
struct hit {
    std::string id;
    double score = 0.0;
    std::string json; ///< Complete hit as sent by the searcher; a JSON object.
};

/// An owner's reply to one attempt.
struct subquery_reply {
    query_id query = 0;
    std::uint32_t attempt = 0;
    shard_id shard = 0;
    snapshot_id snapshot = 0; ///< Snapshot named by the searcher; the coordinator checks it.
    subquery_outcome outcome = subquery_outcome::failed;
    std::uint64_t dispatch_sequence = 0; ///< Position in the owner's dispatch order; 0 if not dispatched.
    duration queued{};                   ///< Time spent in the owner's queue.
    duration service{};                  ///< Time from dispatch to the searcher's answer.
    std::vector<snapshot_id> held;       ///< Last reported snapshots of the shard at the searcher; ascending.
    std::vector<hit> hits;
    std::string detail; ///< Description of the fault if the outcome is not `answered`.
};

/// State of one searcher in an owner's reply to a status request for a group.
struct searcher_status {
    std::string searcher;
    bool takes_work = false;
    std::uint32_t slots = 0; ///< Current slot limit; the cold limit while the searcher is cold.
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    struct held_shard {
        shard_id shard = 0;
        std::vector<snapshot_id> snapshots; ///< Snapshots of the shard in ascending order.
    };
    std::vector<held_shard> shards;
};

} // namespace skylarkseam
