// Selects the node of a cell that runs a singleton task, by rendezvous hashing. Nodes with the same list of
// members select the same node, and a change of members moves only the tasks of members that joined or left.
#pragma once

#include <skylarkseam/core/ownership.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Returns the name of the member that runs the task, or an empty string if there are no members. Two nodes
/// may select different members for a while; running the task twice must be harmless.
[[nodiscard]] std::string singleton_task_owner(const std::vector<member>& members, std::string_view task);

} // namespace skylarkseam
