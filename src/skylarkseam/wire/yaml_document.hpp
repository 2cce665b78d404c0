// Parser of YAML text into documents with line numbers. Invalid text is reported as faults, never by an
// exception.
#pragma once

#include <skylarkseam/wire/document.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Name and text of a file.
struct source_file {
    std::string name;
    std::string text;
};

/// Maximum length of the text of one file.
constexpr std::size_t max_source_bytes = std::size_t{16} << 20U;

/// Returns the documents of one file without the empty ones. A YAML syntax error is a fault and ends the
/// parsing of the file. Aliases, duplicate keys and text that is not valid UTF-8 are faults too.
[[nodiscard]] std::vector<document> parse_yaml(const source_file& source, fault_list& faults);

} // namespace skylarkseam
