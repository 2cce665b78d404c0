#include <skylarkseam/cli/sub_command.hpp>

#include <iostream>

namespace skylarkseam {

exit_code run_sub_command(const std::string& command, const std::vector<sub_command>& commands,
                          const arguments& args) {
    for (const auto& it : commands) {
        if (!args.empty() && args.front() == it.name) {
            return it.run({args.begin() + 1, args.end()});
        }
    }
    const bool help_requested = !args.empty() && (args.front() == "--help" || args.front() == "-h");
    if (!args.empty() && args.front() == "--version") {
        std::cout << "skylarkseam " << SKYLARKSEAM_VERSION << '\n';
        return exit_code::success;
    }
    auto& out = help_requested ? std::cout : std::cerr;
    out << "usage: skylarkseam " << command
        << " COMMAND [ARGUMENTS]; for the arguments of a command, run it with --help\n";
    for (const auto& it : commands) {
        out << "  " << it.name << "  " << it.help << '\n';
    }
    return help_requested ? exit_code::success : exit_code::usage_error;
}

} // namespace skylarkseam
