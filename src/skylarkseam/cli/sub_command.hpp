// Dispatch of subcommands such as `jobs list`.
#pragma once

#include <skylarkseam/cli/commands.hpp>

#include <functional>
#include <string>
#include <vector>

namespace skylarkseam {

struct sub_command {
    std::string name;
    std::string help;
    std::function<exit_code(const arguments&)> run;
};

/// Runs the subcommand that the first argument names. Prints the list of subcommands for --help, and if the
/// first argument names none of them.
[[nodiscard]] exit_code run_sub_command(const std::string& command, const std::vector<sub_command>& commands,
                                        const arguments& args);

} // namespace skylarkseam
