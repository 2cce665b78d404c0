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
    const bool asked = !args.empty() && (args.front() == "--help" || args.front() == "-h");
    if (!args.empty() && args.front() == "--version") {
        std::cout << "skylarkseam " << SKYLARKSEAM_VERSION << '\n';
        return exit_code::done;
    }
    auto& out = asked ? std::cout : std::cerr;
    out << "usage: skylarkseam " << command << " COMMAND [ARGUMENTS]; each command has --help\n";
    for (const auto& it : commands) {
        out << "  " << it.name << "  " << it.help << '\n';
    }
    return asked ? exit_code::done : exit_code::usage;
}

} // namespace skylarkseam
