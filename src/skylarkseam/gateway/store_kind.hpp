// Kinds of objects in the platform's store that a gateway reads.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace skylarkseam {

enum class store_kind { routing, searchers, evacuations };

constexpr std::array store_kinds{store_kind::routing, store_kind::searchers, store_kind::evacuations};

/// Store revision up to which each kind is known, indexed by `store_kind`; 0 if nothing is known.
using store_revisions = std::array<std::uint64_t, store_kinds.size()>;

[[nodiscard]] std::string_view name_of(store_kind kind);

} // namespace skylarkseam
