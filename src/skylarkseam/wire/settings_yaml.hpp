// Reads a node's settings file.
#pragma once

#include <skylarkseam/core/settings.hpp>
#include <skylarkseam/wire/yaml_document.hpp>

#include <vector>

namespace skylarkseam {

/// Settings, or everything that is wrong with them.
struct checked_settings {
    node_settings value;                ///< complete only if there are no faults
    std::vector<document_fault> faults; ///< by line
};

[[nodiscard]] checked_settings parse_settings(const source_file& source);

} // namespace skylarkseam
