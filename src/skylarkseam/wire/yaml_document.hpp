// Reads YAML text into documents that know their lines. Bad text of any kind gives faults, never an
// exception.
#pragma once

#include <skylarkseam/wire/document.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// A file's name and text.
struct source_file {
    std::string name;
    std::string text;
};

/// The longest text that is read as one file.
constexpr std::size_t longest_source_bytes = std::size_t{16} << 20U;

/// The documents of one file, empty ones left out. A fault in the notation ends the file there; aliases,
/// duplicate keys, and text that is not UTF-8 are faults too.
[[nodiscard]] std::vector<document> parse_yaml(const source_file& source, fault_list& faults);

} // namespace skylarkseam
