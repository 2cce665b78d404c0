// Sections of the state dump that show what the core holds.
#pragma once

#include <skylarkseam/core/coordinator.hpp>
#include <skylarkseam/core/owner.hpp>

#include <string>

namespace skylarkseam {

[[nodiscard]] std::string state_json(const configuration& config);
[[nodiscard]] std::string state_json(const ownership& owners, const std::string& self);
[[nodiscard]] std::string state_json(const coordinator& queries);
[[nodiscard]] std::string state_json(const owner& searchers);

} // namespace skylarkseam
