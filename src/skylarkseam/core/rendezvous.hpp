// Rendezvous hashing: every node that hashes the same key over the same candidates selects the same
// candidate.
#pragma once

#include <cstdint>
#include <string_view>

namespace skylarkseam {

/// Returns the weight of a candidate for a key. The candidate with the largest weight is selected.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::uint64_t candidate);

/// Returns a hash of a name that is the same on every node.
[[nodiscard]] std::uint64_t name_hash(std::string_view name);

} // namespace skylarkseam
