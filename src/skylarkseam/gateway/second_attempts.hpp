// Selects the refused parts of a query that are retried while the retry budget is low, for the case that
// searchers of most shards shed a large part of their requests. Retries for a query that can no longer reach
// its minimum share would use up the budget of queries that can.
#pragma once

#include <algorithm>
#include <cstddef>

namespace skylarkseam {

/// Fraction of a service's retry budget below which the budget counts as low.
constexpr double low_budget_share = 0.35;

/// Fraction of a service's retry budget from which on the budget counts as hardly used.
constexpr double ample_budget_share = 0.5;

/// Maximum number of parts to retry; while searchers shed load, retries of more parts rarely all succeed.
constexpr std::size_t max_parts_to_retry = 2;

/// Number of refused parts that are worth a retry, once all other parts have ended.
/// \param required  number of parts that a successful answer needs
constexpr std::size_t parts_worth_retrying(std::size_t answered, std::size_t refused, std::size_t required) {
    if (answered >= required) {
        return 0; // The answered parts are sufficient, and other queries need the budget more.
    }
    const std::size_t needed = required - answered;
    if (needed > refused || needed > max_parts_to_retry) {
        return 0;
    }
    return std::min(refused, needed + 1); // One more than needed, since a retry may be refused too.
}

} // namespace skylarkseam
