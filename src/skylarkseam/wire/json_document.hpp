// Parser of JSON text into documents, which are then validated by the same code as YAML.
#pragma once

#include <skylarkseam/wire/document.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Returns the single document of a JSON text, without line numbers; empty if there was a fault. Text that is
/// not valid JSON, is nested too deeply or repeats a key is a fault.
[[nodiscard]] std::vector<document> parse_json(const std::string& file, std::string_view text,
                                               fault_list& faults);

} // namespace skylarkseam
