#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/settings_file.hpp>
#include <skylarkseam/shell/gateway_node.hpp>

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

/// Nothing where the file is faulty or has no section for a gateway.
std::optional<node_settings> read_gateway_settings(const std::string& path) {
    auto settings = read_settings_file(path);
    if (settings && !settings->gateway) {
        std::cerr << path << ": the section \"gateway\" is missing\n";
        return std::nullopt;
    }
    return settings;
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
    const auto settings = read_gateway_settings(path);
    if (!settings) {
        return exit_code::refused;
    }
    const platform_binding binding{platform::dialect(), &platform::target_of, &platform::read_answer,
                                   &platform::read_routing};
    const auto ended = run_gateway(*settings, binding, [path] { return read_gateway_settings(path); });
    return ended == 0 ? exit_code::done : exit_code::refused;
}

} // namespace skylarkseam
