// The commands that look at configurations without changing any: check, get and diff.
#include <skylarkseam/cli/command_parts.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/settings_file.hpp>
#include <skylarkseam/wire/configuration_json.hpp>

#include <iostream>

namespace skylarkseam {
namespace {

exit_code fail(const error& ec) {
    std::cerr << ec.detail << '\n';
    return ec.kind == error_kind::bad_request ? exit_code::usage : exit_code::refused;
}

} // namespace

exit_code check_command(const arguments& args) {
    command_line line("skylarkseam check",
                      "Checks configuration files, or the settings of a node, and names every fault.");
    line.add("f,file", "a YAML file of the configuration, or a folder of them");
    line.add("settings", "the settings of a node or gateway, a YAML file");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    const bool of_node = line.is_set("settings");
    if (of_node == line.is_set("file")) {
        std::cerr << "either --file or --settings is needed\n";
        return exit_code::usage;
    }
    if (of_node) {
        const auto settings = read_settings_file(line.value("settings"));
        if (!settings) {
            return exit_code::refused;
        }
        std::cout << "correct: settings of " << (settings->gateway ? "gateway " : "node ") << settings->name
                  << '\n';
        return exit_code::done;
    }
    const auto config = read_configuration(line.value("file"));
    if (!config) {
        return exit_code::refused;
    }
    std::cout << "correct: " << config->zones.size() << " availability zones, " << config->groups.size()
              << " upstream groups, " << config->services.size() << " services, " << config->rules.size()
              << " sharing rules\n";
    return exit_code::done;
}

exit_code get_command(const arguments& args) {
    command_line line("skylarkseam get", "Prints the configuration that is in force, as YAML flow (JSON).");
    add_target_arguments(line);
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    auto targets = read_targets(line);
    if (!targets) {
        return fail(targets.error());
    }
    operator_session session(std::move(targets.value()));
    const auto stored = read_in_force(session);
    if (!stored) {
        return fail(stored.error());
    }
    std::cout << "# generation " << stored.value().head.generation << '\n'
              << encode_configuration(*stored.value().value);
    return exit_code::done;
}

exit_code diff_command(const arguments& args) {
    command_line line("skylarkseam diff", "Prints what applying the files would change.");
    line.add_required("f,file", "a YAML file, or a folder of them");
    add_target_arguments(line);
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    auto targets = read_targets(line);
    if (!targets) {
        return fail(targets.error());
    }
    const auto wanted = read_configuration(line.value("file"));
    if (!wanted) {
        return exit_code::refused;
    }
    operator_session session(std::move(targets.value()));
    const auto stored = read_in_force(session);
    if (!stored && stored.error().kind != error_kind::not_found) {
        return fail(stored.error());
    }
    const auto generation = stored ? stored.value().head.generation : 0;
    std::cout << "against generation " << generation << ":\n";
    print_difference(stored ? *stored.value().value : configuration{}, *wanted);
    return exit_code::done;
}

} // namespace skylarkseam
