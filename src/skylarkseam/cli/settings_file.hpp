// Reading of a node's settings file.
#pragma once

#include <skylarkseam/core/settings.hpp>

#include <optional>
#include <string>

namespace skylarkseam {

/// Reads and checks a settings file. Prints every fault to the standard error stream, and returns nothing if
/// the file cannot be read or has faults.
[[nodiscard]] std::optional<node_settings> read_settings_file(const std::string& path);

} // namespace skylarkseam
