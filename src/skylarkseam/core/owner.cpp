#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/core/owner.hpp>

namespace skylarkseam {
namespace {

constexpr name_table upstream_state_names{std::array{
    named_value<upstream_state>{upstream_state::cold, "cold"},
    named_value<upstream_state>{upstream_state::warm, "warm"},
    named_value<upstream_state>{upstream_state::draining, "draining"},
}};

} // namespace

std::string_view name_of(upstream_state state) {
    return upstream_state_names.name_of(state);
}

std::optional<upstream_state> find_upstream_state(std::string_view name) {
    return upstream_state_names.find(name);
}

} // namespace skylarkseam
