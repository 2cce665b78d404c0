#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/files.hpp>
#include <skylarkseam/shell/node.hpp>
#include <skylarkseam/wire/settings_yaml.hpp>

#include <iostream>

namespace skylarkseam {

exit_code node_command(const arguments& args) {
    command_line line("skylarkseam node", "Runs a node until SIGTERM has drained it.");
    line.add_required("settings", "the node's settings, a YAML file");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    const auto source = read_source(line.value("settings"));
    if (!source) {
        std::cerr << source.error().detail << '\n';
        return exit_code::refused;
    }
    const auto settings = parse_settings(source.value());
    if (!settings.faults.empty()) {
        print_faults(settings.faults);
        return exit_code::refused;
    }
    return run_node(settings.value) == 0 ? exit_code::done : exit_code::refused;
}

} // namespace skylarkseam
