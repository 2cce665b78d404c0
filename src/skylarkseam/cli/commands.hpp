// Commands of the program. Each parses its own arguments and returns the exit code of the program.
#pragma once

#include <string>
#include <vector>

namespace skylarkseam {

/// Exit codes of the program.
enum class exit_code {
    success = 0,
    failure = 1, ///< Refused or failed command.
    usage_error = 2,
    outcome_unknown = 3, ///< Change whose answer was lost; it may or may not have taken effect.
};

using arguments = std::vector<std::string>; ///< Arguments after the program's and the command's name.

exit_code node_command(const arguments& args);
exit_code gateway_command(const arguments& args);
exit_code check_command(const arguments& args);
exit_code apply_command(const arguments& args);
exit_code get_command(const arguments& args);
exit_code diff_command(const arguments& args);
exit_code dump_command(const arguments& args);
exit_code status_command(const arguments& args);
exit_code jobs_command(const arguments& args);
exit_code effects_command(const arguments& args);
exit_code ledger_command(const arguments& args);

} // namespace skylarkseam
