// Read-only commands on running nodes: dump and status.
#include <skylarkseam/cli/command_support.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/confirmation.hpp>

#include <iostream>

namespace skylarkseam {

exit_code dump_command(const arguments& args) {
    command_line line("skylarkseam dump", "Prints a node's state as JSON.");
    line.add_required_option("node", "address ip:port of the node's admin port");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    operator_session session({});
    const auto response = session.get_url("http://" + line.value("node") + "/state");
    constexpr int http_ok = 200;
    if (response.status != http_ok) {
        std::cerr << "the node's state cannot be read: "
                  << (response.status == 0 ? response.detail
                                           : "HTTP status " + std::to_string(response.status))
                  << '\n';
        return exit_code::failure;
    }
    std::cout << response.body << '\n';
    return exit_code::success;
}

exit_code status_command(const arguments& args) {
    command_line line(
        "skylarkseam status",
        "Prints the configuration generation that is in force in the platform and at each node.");
    add_target_arguments(line);
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    auto targets = read_targets(line);
    if (!targets) {
        std::cerr << targets.error().detail << '\n';
        return exit_code::usage_error;
    }
    operator_session session(std::move(targets.value()));
    const auto stored = read_in_force(session);
    const auto generation = stored ? stored.value().head.generation : 0;
    if (stored) {
        std::cout << "platform: generation " << generation << '\n';
    } else {
        std::cout << "platform: " << stored.error().detail << '\n';
    }
    bool all_up_to_date = stored.has_value();
    for (const auto& it : query_generations(session, discover_nodes(session))) {
        std::cout << to_string(it) << '\n';
        all_up_to_date = all_up_to_date && !it.node.empty() && it.generation >= generation;
    }
    return all_up_to_date ? exit_code::success : exit_code::failure;
}

} // namespace skylarkseam
