#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/settings_file.hpp>
#include <skylarkseam/shell/node.hpp>

namespace skylarkseam {

exit_code node_command(const arguments& args) {
    command_line line("skylarkseam node", "Runs a node. SIGTERM drains the node, then it exits.");
    line.add_required_option("settings", "YAML file with the node's settings");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    const auto settings = read_settings_file(line.value("settings"));
    if (!settings) {
        return exit_code::failure;
    }
    return run_node(*settings) == 0 ? exit_code::success : exit_code::failure;
}

} // namespace skylarkseam
