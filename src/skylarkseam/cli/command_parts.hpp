// What several commands share: the arguments that say where things are, and reading what is in force.
#pragma once

#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/operator_session.hpp>
#include <skylarkseam/control/configuration_head.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// Adds --settings, --platform and --peers.
void add_target_arguments(command_line& line);
/// The targets; an error names what is missing or wrong.
[[nodiscard]] result<operator_targets> read_targets(const command_line& line);

/// Reads and checks the files under `path`; prints every fault.
[[nodiscard]] std::optional<configuration> read_configuration(const std::string& path);

/// A head with its whole body, decoded and checked.
struct stored_configuration {
    configuration_head head;
    std::shared_ptr<const configuration> value;
};

/// What the platform says is in force; not_found before the first.
[[nodiscard]] result<stored_configuration> read_in_force(operator_session& session);
/// The whole of a head that was read before.
[[nodiscard]] result<stored_configuration> read_body(operator_session& session,
                                                     const configuration_head& head);

/// Prints what differs, one line each; a line that says so where nothing does.
void print_difference(const configuration& before, const configuration& after);

} // namespace skylarkseam
