// Read-only commands on configurations: check, get and diff.
#include <skylarkseam/cli/command_support.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/settings_file.hpp>
#include <skylarkseam/wire/configuration_json.hpp>

#include <iostream>

namespace skylarkseam {
namespace {

exit_code print_error(const error& ec) {
    std::cerr << ec.detail << '\n';
    return ec.kind == error_kind::bad_request ? exit_code::usage_error : exit_code::failure;
}

} // namespace

exit_code check_command(const arguments& args) {
    command_line line("skylarkseam check",
                      "Checks configuration files, or the settings file of a node, and prints every fault.");
    line.add_option("f,file", "YAML file of the configuration, or folder of YAML files");
    line.add_option("settings", "YAML file with the settings of a node or gateway");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    const bool checks_settings = line.is_set("settings");
    if (checks_settings == line.is_set("file")) {
        std::cerr << "give either --file or --settings, but not both\n";
        return exit_code::usage_error;
    }
    if (checks_settings) {
        const auto settings = read_settings_file(line.value("settings"));
        if (!settings) {
            return exit_code::failure;
        }
        std::cout << "correct: settings of " << (settings->gateway ? "gateway " : "node ") << settings->name
                  << '\n';
        return exit_code::success;
    }
    const auto config = read_configuration(line.value("file"));
    if (!config) {
        return exit_code::failure;
    }
    std::cout << "correct: " << config->zones.size() << " availability zones, " << config->groups.size()
              << " upstream groups, " << config->services.size() << " services, " << config->rules.size()
              << " sharing rules\n";
    return exit_code::success;
}

exit_code get_command(const arguments& args) {
    command_line line("skylarkseam get",
                      "Prints the configuration that is in force as JSON, which is also valid YAML.");
    add_target_arguments(line);
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    auto targets = read_targets(line);
    if (!targets) {
        return print_error(targets.error());
    }
    operator_session session(std::move(targets.value()));
    const auto stored = read_in_force(session);
    if (!stored) {
        return print_error(stored.error());
    }
    std::cout << "# generation " << stored.value().head.generation << '\n'
              << encode_configuration(*stored.value().value);
    return exit_code::success;
}

exit_code diff_command(const arguments& args) {
    command_line line("skylarkseam diff", "Prints what applying the configuration files would change.");
    line.add_required_option("f,file", "YAML file, or folder of YAML files");
    add_target_arguments(line);
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    auto targets = read_targets(line);
    if (!targets) {
        return print_error(targets.error());
    }
    const auto wanted = read_configuration(line.value("file"));
    if (!wanted) {
        return exit_code::failure;
    }
    operator_session session(std::move(targets.value()));
    const auto stored = read_in_force(session);
    if (!stored && stored.error().kind != error_kind::not_found) {
        return print_error(stored.error());
    }
    const auto generation = stored ? stored.value().head.generation : 0;
    std::cout << "against generation " << generation << ":\n";
    print_difference(stored ? *stored.value().value : configuration{}, *wanted);
    return exit_code::success;
}

} // namespace skylarkseam
