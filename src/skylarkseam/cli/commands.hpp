// The operators' commands: each takes its own arguments and returns the exit code of the program.
#pragma once

#include <string>
#include <vector>

namespace skylarkseam {

/// The program's exit codes.
enum class exit_code {
    done = 0,
    refused = 1, ///< refused, or failed
    usage = 2,
    unknown = 3, ///< whether it took effect cannot be told
};

using arguments = std::vector<std::string>; ///< without the program's name and the command's

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
