// Decodes parsed documents (from YAML or JSON) into a validated configuration. Both the operators' files and
// the value stored in the platform are decoded here, so the keys, ranges and references of a configuration
// are defined in this one place.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/wire/document.hpp>

#include <vector>

namespace skylarkseam {

/// Reads every object in `documents` (a map is one object, a sequence is several) and validates the whole
/// set. The returned configuration is complete and consistent only if no fault was added. Its generation is
/// 0.
[[nodiscard]] configuration decode_configuration(const std::vector<document>& documents, fault_list& faults);

} // namespace skylarkseam
