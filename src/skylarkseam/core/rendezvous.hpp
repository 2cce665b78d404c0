// Rendezvous hashing: every node that hashes the same key over the same candidates picks the same one.
#pragma once

#include <cstdint>
#include <string_view>

namespace skylarkseam {

/// The weight of a candidate for a key; the largest wins.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::uint64_t candidate);

/// A hash of a name that is the same at every node.
[[nodiscard]] std::uint64_t name_hash(std::string_view name);

} // namespace skylarkseam
