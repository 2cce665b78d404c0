// Header names of the HTTP protocol between clients, gateways and searchers. A platform adapter supplies
// them, so that the gateway does not depend on the names of any platform.
#pragma once

#include <string>

namespace skylarkseam {

/// All header names are in lower case.
struct http_dialect {
    std::string request_id; ///< ID of a client's attempt; searchers echo it.
    std::string time_left;  ///< Milliseconds that the sender will still wait.
    /// ID of the searcher that the request is meant for; any other searcher answers 421 and names itself.
    std::string expected_id;
    std::string not_run; ///< Set in a searcher's refusal if the searcher did not run the request.
    std::string leaving; ///< Set to 1 in the answers of a searcher that is about to shut down.
    /// Requests a second that a searcher in need accepts from all hosts together, in its answers.
    std::string rate_limit;
    std::string store_incarnation; ///< Incarnation of the store, in all its answers.
    std::string proof;             ///< A searcher's proof of its answer.
    std::string part_proofs;       ///< Proofs of all parts of a merged answer.
    std::string missing_parts;     ///< Number of shards that are missing from a merged answer.
    std::string readiness_path;    ///< Path of the load balancer's health check.
    std::string searcher_id{};     ///< ID of the searcher that answers, in its 421 and its liveness answers.
};

} // namespace skylarkseam
