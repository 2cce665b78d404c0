#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/settings_file.hpp>
#include <skylarkseam/shell/gateway_node.hpp>

#include <cstdlib>
#include <iostream>
#include <platform/dialect.hpp>
#include <platform/store_codec.hpp>
#include <platform/suspect_codec.hpp>

namespace skylarkseam {
namespace {

constexpr const char* settings_path_variable =
    "SKYLARKSEAM_CONFIG"; ///< Environment variable that holds the default value of --settings.

std::string default_settings_path() {
    const char* const path = std::getenv(settings_path_variable);
    return path == nullptr ? std::string() : std::string(path);
}

/// Reads the settings file. Prints the error and returns nothing if the file is invalid or has no section
/// for a gateway.
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
    command_line line(
        "skylarkseam gateway",
        "Runs a node as a gateway on the users' platform. SIGTERM drains the node, then it exits.");
    line.add_option("settings",
                    "YAML file with the node's settings; default: the path in the environment variable "
                    "SKYLARKSEAM_CONFIG",
                    default_settings_path());
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    const auto path = line.value("settings");
    const auto settings = read_gateway_settings(path);
    if (!settings) {
        return exit_code::failure;
    }
    const platform_binding binding{platform::dialect(),        &platform::target_of,
                                   &platform::read_answer,     &platform::read_routing,
                                   &platform::suspect_request, &platform::read_suspects};
    const auto status = run_gateway(*settings, binding, [path] { return read_gateway_settings(path); });
    return status == 0 ? exit_code::success : exit_code::failure;
}

} // namespace skylarkseam
