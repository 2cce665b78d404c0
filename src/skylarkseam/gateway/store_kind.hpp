// The kinds of objects in the platform's store that a gateway depends on.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace skylarkseam {

enum class store_kind { routing, searchers, evacuations };

constexpr std::array store_kinds{store_kind::routing, store_kind::searchers, store_kind::evacuations};

/// A revision of the store for each kind, by the kind's number; 0: nothing is known.
using store_revisions = std::array<std::uint64_t, store_kinds.size()>;

[[nodiscard]] std::string_view name_of(store_kind kind);

} // namespace skylarkseam
