// Assignment of searchers to owner nodes, decided by the control component for one epoch.
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
    std::uint64_t incarnation = 0; ///< Number that increases with each start of the node.
    std::string zone;
    std::string region;
    std::string peer_address; ///< Address as ip:port for messages between nodes.
    friend bool operator==(const member&, const member&) = default;
};

/// Members and searcher owners of one epoch. Invariant: every owner is a member.
struct ownership {
    epoch_id epoch = 0;
    std::vector<member> members;                              ///< Members in ascending order of node name.
    std::map<std::string, std::string, std::less<>> owner_of; ///< Node name of the owner, by searcher name.
};

/// Time limits within which a node may dispatch to the searchers it owns. The node compares them with its own
/// steady clock immediately before each dispatch.
struct authority {
    time_point full_until{}; ///< End of full authority (warm and cold searchers).
    /// End of reduced authority. Between full_until and warm_until, the node may dispatch to warm searchers
    /// within their slots, but not to cold searchers.
    time_point warm_until{};
};

} // namespace skylarkseam
