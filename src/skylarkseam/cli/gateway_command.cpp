#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/files.hpp>
#include <skylarkseam/shell/gateway_node.hpp>
#include <skylarkseam/wire/settings_yaml.hpp>

#include <cstdlib>
#include <iostream>
#include <platform/dialect.hpp>
#include <platform/store_codec.hpp>

namespace skylarkseam {
namespace {

constexpr const char* settings_variable =
    "SKYLARKSEAM_CONFIG"; ///< names the settings file where no option does

std::string default_settings() {
    const char* const path = std::getenv(settings_variable);
    return path == nullptr ? std::string() : std::string(path);
}

/// Nothing where the file cannot be read or is faulty; the faults are on the standard error stream.
std::optional<node_settings> read_settings(const std::string& path) {
    const auto source = read_source(path);
    if (!source) {
        std::cerr << source.error().detail << '\n';
        return std::nullopt;
    }
    auto settings = parse_settings(source.value());
    if (!settings.faults.empty()) {
        print_faults(settings.faults);
        return std::nullopt;
    }
    if (!settings.value.gateway) {
        std::cerr << path << ": the section \"gateway\" is missing\n";
        return std::nullopt;
    }
    return std::move(settings.value);
}

} // namespace

exit_code gateway_command(const arguments& args) {
    command_line line("skylarkseam gateway",
                      "Runs a node as a gateway on the users' platform until SIGTERM has drained it.");
    line.add("settings", "the node's settings, a YAML file; default: the file that SKYLARKSEAM_CONFIG names",
             default_settings());
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    const auto path = line.value("settings");
    const auto settings = read_settings(path);
    if (!settings) {
        return exit_code::refused;
    }
    const platform_binding binding{platform::dialect(), &platform::target_of, &platform::read_answer,
                                   &platform::read_routing};
    const auto ended = run_gateway(*settings, binding, [path] { return read_settings(path); });
    return ended == 0 ? exit_code::done : exit_code::refused;
}

} // namespace skylarkseam
