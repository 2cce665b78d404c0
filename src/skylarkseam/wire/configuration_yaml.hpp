// Reads operators' configuration files.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/wire/yaml_document.hpp>

#include <vector>

namespace skylarkseam {

/// A configuration, or everything that is wrong with it.
struct checked_configuration {
    configuration value;                ///< complete only if there are no faults; generation 0
    std::vector<document_fault> faults; ///< by file and line
};

/// Parses and checks a whole set of files, each of any number of documents.
[[nodiscard]] checked_configuration parse_configuration(const std::vector<source_file>& sources);

} // namespace skylarkseam
