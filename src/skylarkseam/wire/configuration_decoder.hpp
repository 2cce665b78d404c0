// Turns documents of any notation into a checked configuration. The one place that knows the keys, ranges and
// references of a configuration: operators' files and the value kept in the platform both pass through it.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/wire/document.hpp>

#include <vector>

namespace skylarkseam {

/// Reads every object in `documents` (a map is one object, a sequence is several), and checks the whole set.
/// What is returned is complete and consistent only if no fault was added. Its generation is 0.
[[nodiscard]] configuration decode_configuration(const std::vector<document>& documents, fault_list& faults);

} // namespace skylarkseam
