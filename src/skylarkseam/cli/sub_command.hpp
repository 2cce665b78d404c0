// Commands that have commands of their own, such as `jobs list`.
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

/// Runs the one that the first argument names; prints them all for --help, or where it names none.
[[nodiscard]] exit_code run_sub_command(const std::string& command, const std::vector<sub_command>& commands,
                                        const arguments& args);

} // namespace skylarkseam
