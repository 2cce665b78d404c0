#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/settings_file.hpp>
#include <skylarkseam/shell/node.hpp>

namespace skylarkseam {

exit_code node_command(const arguments& args) {
    command_line line("skylarkseam node", "Runs a node until SIGTERM has drained it.");
    line.add_required("settings", "the node's settings, a YAML file");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    const auto settings = read_settings_file(line.value("settings"));
    if (!settings) {
        return exit_code::refused;
    }
    return run_node(*settings) == 0 ? exit_code::done : exit_code::refused;
}

} // namespace skylarkseam
