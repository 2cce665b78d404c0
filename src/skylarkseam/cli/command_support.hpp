// Helpers shared by several commands: options for the addresses of the platform and the nodes, and reading of
// configurations from files and from the platform.
#pragma once

#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/operator_session.hpp>
#include <skylarkseam/control/configuration_head.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// Adds the options --settings, --platform and --peers.
void add_target_arguments(command_line& line);
/// Reads the addresses from those options. The error names the option that is missing or invalid.
[[nodiscard]] result<operator_targets> read_targets(const command_line& line);

/// Reads and checks a file or the files of a folder. Prints every fault, and returns nothing if there is one.
[[nodiscard]] std::optional<configuration> read_configuration(const std::string& path);

/// Configuration as stored in the platform: its head, and its body decoded and checked.
struct stored_configuration {
    configuration_head head;
    std::shared_ptr<const configuration> value;
};

/// Reads the configuration in force from the platform. The error is not_found if none has been applied yet.
[[nodiscard]] result<stored_configuration> read_in_force(operator_session& session);
/// Reads the body that belongs to a head.
[[nodiscard]] result<stored_configuration> read_body(operator_session& session,
                                                     const configuration_head& head);

/// Prints one line for each difference, or "no difference".
void print_difference(const configuration& before, const configuration& after);

} // namespace skylarkseam
