// Parser of the operators' configuration files.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/wire/yaml_document.hpp>

#include <vector>

namespace skylarkseam {

/// Result of parsing configuration files: a configuration, or all faults found.
struct checked_configuration {
    configuration value; ///< Configuration with generation 0; complete only if `faults` is empty.
    std::vector<document_fault> faults; ///< Faults sorted by file and line.
};

/// Parses and validates a whole set of files, each with any number of documents.
[[nodiscard]] checked_configuration parse_configuration(const std::vector<source_file>& sources);

} // namespace skylarkseam
