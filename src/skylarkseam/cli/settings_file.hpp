// The settings file of a node, as the commands read it.
#pragma once

#include <skylarkseam/core/settings.hpp>

#include <optional>
#include <string>

namespace skylarkseam {

/// Nothing where the file cannot be read or is faulty; every fault is on the standard error stream.
[[nodiscard]] std::optional<node_settings> read_settings_file(const std::string& path);

} // namespace skylarkseam
