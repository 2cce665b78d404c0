// Who owns which searcher, as the control part has decided it for one epoch.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkseam {

using epoch_id = std::uint64_t;

/// A node of a cell.
struct member {
    std::string node;
    std::uint64_t incarnation = 0; ///< rises with each start of the node
    std::string zone;
    std::string region;
    std::string peer_address; ///< ip:port for messages between nodes
    friend bool operator==(const member&, const member&) = default;
};

/// Invariant: every owner named is a member.
struct ownership {
    epoch_id epoch = 0;
    std::vector<member> members;                              ///< by node name, ascending
    std::map<std::string, std::string, std::less<>> owner_of; ///< searcher name to node name
};

/// What a node may do with the searchers it owns. The holder compares these with its own steady clock
/// immediately before each dispatch.
struct authority {
    time_point full_until{}; ///< full authority ends here
    time_point
        warm_until{}; ///< from full_until to here: warm searchers within their slots, nothing to cold ones
};

} // namespace skylarkseam
