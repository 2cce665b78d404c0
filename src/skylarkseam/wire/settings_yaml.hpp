// Parser of a node's settings file.
#pragma once

#include <skylarkseam/core/settings.hpp>
#include <skylarkseam/wire/yaml_document.hpp>

#include <vector>

namespace skylarkseam {

/// Result of parsing a settings file: settings, or all faults found.
struct checked_settings {
    node_settings value;                ///< Settings; complete only if `faults` is empty.
    std::vector<document_fault> faults; ///< Faults sorted by line.
};

[[nodiscard]] checked_settings parse_settings(const source_file& source);

} // namespace skylarkseam
