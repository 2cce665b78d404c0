// Reading of the YAML files given to commands, and printing of the faults found in them.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/wire/yaml_document.hpp>

#include <string>
#include <vector>

namespace skylarkseam {

/// Reads one file. The error names the file.
[[nodiscard]] result<source_file> read_source(const std::string& path);

/// Reads a file, or all *.yaml and *.yml files of a folder in the order of their names.
[[nodiscard]] result<std::vector<source_file>> read_sources(const std::string& path);

/// Prints each fault with its file, line and field to the standard error stream.
void print_faults(const std::vector<document_fault>& faults);

} // namespace skylarkseam
