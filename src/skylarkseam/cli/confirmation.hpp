// Asks the nodes themselves which generation they have in force.
#pragma once

#include <skylarkseam/cli/operator_session.hpp>
#include <skylarkseam/core/configuration.hpp>

#include <string>
#include <vector>

namespace skylarkseam {

struct node_confirmation {
    std::string address;
    std::string node; ///< empty where the node has not answered
    generation_id generation = 0;
};

/// All nodes that the given ones know, themselves included.
[[nodiscard]] std::vector<std::string> find_nodes(operator_session& session);

/// What each node has in force now.
[[nodiscard]] std::vector<node_confirmation> ask_generations(operator_session& session,
                                                             const std::vector<std::string>& addresses);

/// Waits until every node has `generation` or a later one, for `longest` at most; those that have not.
[[nodiscard]] std::vector<node_confirmation> wait_for(operator_session& session, generation_id generation,
                                                      duration longest);

/// "NODE (ADDRESS): generation N" or "ADDRESS: no answer".
[[nodiscard]] std::string to_string(const node_confirmation& it);

} // namespace skylarkseam
