// The object of a cell in the platform: who its members are, who owns which searcher, and which member renews
// it. Each renewal changes its version; it holds durations but no point in time.
#pragma once

#include <skylarkseam/core/ownership.hpp>

#include <optional>
#include <string_view>

namespace skylarkseam {

/// The platform's version of an object: one counter for the whole store, so a later write has a higher one.
using record_version = std::uint64_t;

/// A searcher that has changed hands. The new owner starts it when the former owner has said that it drained
/// it, or `wait` after the new owner has learned of the epoch.
struct handover {
    std::string searcher;
    std::string former; ///< node name
    std::uint64_t former_incarnation = 0;
    epoch_id epoch = 0; ///< in which it changed hands
    duration wait{};    ///< rest of the former owner's lease, and the longest deadline of its work
    friend bool operator==(const handover&, const handover&) = default;
};

/// Invariant: a change of `owners` other than its holder comes with a higher epoch.
struct cell_record {
    std::string holder; ///< the member that renews the record
    std::uint64_t holder_incarnation = 0;
    std::string holder_address; ///< ip:port
    std::string token;          ///< unique for each write, to recognise one's own after a lost answer
    ownership owners;
    std::vector<handover> handovers;
};

/// The member of that name; null if there is none.
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
