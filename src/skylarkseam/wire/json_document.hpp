// Reads JSON text into documents, so that it passes the same checks as YAML.
#pragma once

#include <skylarkseam/wire/document.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// The one document of a JSON text, without lines. Text that is no JSON, is nested too deeply or repeats a
/// key is a fault.
[[nodiscard]] std::vector<document> parse_json(const std::string& file, std::string_view text,
                                               fault_list& faults);

} // namespace skylarkseam
