// Which node of a cell does a duty that one node is enough for, by rendezvous hashing: nodes that agree on
// the members agree on the duty, and a change of members moves only the duties of those that came or went.
#pragma once

#include <skylarkseam/core/ownership.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// The name of the member that does the duty; empty where there are no members. Two nodes may disagree for a
/// while, so a duty must bear being done twice.
[[nodiscard]] std::string singleton_task_owner(const std::vector<member>& members, std::string_view task);

} // namespace skylarkseam
