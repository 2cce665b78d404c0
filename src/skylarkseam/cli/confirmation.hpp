// Queries the nodes for the configuration generation that each has in force.
#pragma once

#include <skylarkseam/cli/operator_session.hpp>
#include <skylarkseam/core/configuration.hpp>

#include <string>
#include <vector>

namespace skylarkseam {

/// Reply of one node to the query for its generation.
struct node_confirmation {
    std::string address;
    std::string node; ///< Name of the node; empty if it did not answer.
    generation_id generation = 0;
};

/// Requests the list of known peers from each node of the session's targets.
/// \return addresses of these nodes and of all their peers
[[nodiscard]] std::vector<std::string> discover_nodes(operator_session& session);

/// Queries each node once for the generation that it has in force.
[[nodiscard]] std::vector<node_confirmation> query_generations(operator_session& session,
                                                               const std::vector<std::string>& addresses);

/// Polls the nodes until every one has `generation` or a later one in force, or the timeout has passed.
/// \return nodes that have not confirmed the generation
[[nodiscard]] std::vector<node_confirmation> wait_for_generation(operator_session& session,
                                                                 generation_id generation, duration timeout);

/// Formats a reply as "NODE (ADDRESS): generation N", or "ADDRESS: no answer".
[[nodiscard]] std::string to_string(const node_confirmation& it);

} // namespace skylarkseam
