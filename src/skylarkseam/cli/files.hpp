// Files that the commands read, and the faults that are found in them.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/wire/yaml_document.hpp>

#include <string>
#include <vector>

namespace skylarkseam {

/// Reads one file; the error names it.
[[nodiscard]] result<source_file> read_source(const std::string& path);

/// Reads a file, or every *.yaml and *.yml of a folder, by name.
[[nodiscard]] result<std::vector<source_file>> read_sources(const std::string& path);

/// Prints each fault with its file, line and field on the standard error stream.
void print_faults(const std::vector<document_fault>& faults);

} // namespace skylarkseam
