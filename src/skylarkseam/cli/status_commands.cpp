// The commands that look at running nodes: dump and status.
#include <skylarkseam/cli/command_parts.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/confirmation.hpp>

#include <iostream>

namespace skylarkseam {

exit_code dump_command(const arguments& args) {
    command_line line("skylarkseam dump", "Prints a node's state as JSON.");
    line.add_required("node", "ip:port of the node's admin port");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    operator_session session({});
    const auto answer = session.get("http://" + line.value("node") + "/state");
    constexpr int http_ok = 200;
    if (answer.status != http_ok) {
        std::cerr << "the node does not answer: "
                  << (answer.status == 0 ? answer.detail : "HTTP status " + std::to_string(answer.status))
                  << '\n';
        return exit_code::refused;
    }
    std::cout << answer.body << '\n';
    return exit_code::done;
}

exit_code status_command(const arguments& args) {
    command_line line("skylarkseam status", "Prints what is in force in the platform and at each node.");
    add_target_arguments(line);
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    auto targets = read_targets(line);
    if (!targets) {
        std::cerr << targets.error().detail << '\n';
        return exit_code::usage;
    }
    operator_session session(std::move(targets.value()));
    const auto stored = read_in_force(session);
    const auto generation = stored ? stored.value().head.generation : 0;
    if (stored) {
        std::cout << "platform: generation " << generation << '\n';
    } else {
        std::cout << "platform: " << stored.error().detail << '\n';
    }
    bool all = stored.has_value();
    for (const auto& it : ask_generations(session, find_nodes(session))) {
        std::cout << to_string(it) << '\n';
        all = all && !it.node.empty() && it.generation >= generation;
    }
    return all ? exit_code::done : exit_code::refused;
}

} // namespace skylarkseam
