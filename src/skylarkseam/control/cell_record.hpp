// The record of a cell, stored as an object in the platform: the members, the owner of each searcher, and the
// holder, which is the member that renews the record. Each renewal changes the object's version. The record
// holds durations but no points in time.
#pragma once

#include <skylarkseam/core/ownership.hpp>

#include <optional>
#include <string_view>

namespace skylarkseam {

/// Version of an object in the platform. One counter serves the whole store: a later write has a higher
/// version.
using record_version = std::uint64_t;

/// Change of a searcher's owner. The new owner starts to serve the searcher when the former owner has
/// reported that it drained it, or `wait` after the new owner has received the epoch.
struct handover {
    std::string searcher;
    std::string former; ///< Node name of the former owner.
    std::uint64_t former_incarnation = 0;
    epoch_id epoch = 0; ///< Epoch in which the owner changed.
    duration wait{};    ///< Rest of the former owner's lease plus the longest deadline of its work.
    friend bool operator==(const handover&, const handover&) = default;
};

/// Invariant: each change of `owners` raises the epoch; a change of the holder alone does not.
struct cell_record {
    std::string holder; ///< Node name of the member that renews the record.
    std::uint64_t holder_incarnation = 0;
    std::string holder_address; ///< Address of the holder, as ip:port.
    std::string token;          ///< Unique for each write; identifies a node's own write after a lost answer.
    ownership owners;
    std::vector<handover> handovers;
};

/// Returns the member with this node name, or null.
[[nodiscard]] inline const member* find_member(const std::vector<member>& members, std::string_view node) {
    for (const auto& it : members) {
        if (it.node == node) {
            return &it;
        }
    }
    return nullptr;
}

[[nodiscard]] inline bool is_member(const cell_record& record, std::string_view node,
                                    std::uint64_t incarnation) {
    const auto* found = find_member(record.owners.members, node);
    return found != nullptr && found->incarnation == incarnation;
}

} // namespace skylarkseam
