// Entry point of the program: runs a node, a gateway or one of the operators' commands.
#include <skylarkseam/cli/commands.hpp>

#include <array>
#include <exception>
#include <iostream>
#include <string_view>

namespace {

using namespace skylarkseam;

struct command {
    std::string_view name;
    exit_code (*run)(const arguments& args);
    std::string_view help;
};

constexpr std::array commands{
    command{"node", &node_command, "run a node"},
    command{"gateway", &gateway_command, "run a node as a gateway on the platform"},
    command{"check", &check_command, "check configuration files"},
    command{"apply", &apply_command, "apply a configuration"},
    command{"get", &get_command, "print the configuration that is in force"},
    command{"diff", &diff_command, "print what applying configuration files would change"},
    command{"status", &status_command,
            "print the configuration generation in force in the platform and at each node"},
    command{"dump", &dump_command, "print a node's state as JSON"},
    command{"jobs", &jobs_command, "list, show or cancel deferrable jobs"},
    command{"effects", &effects_command, "list non-idempotent requests and resolve unknown outcomes"},
    command{"ledger", &ledger_command, "print and verify the ledger, which records the order of service"},
};

void print_help(std::ostream& out) {
    out << "usage: skylarkseam COMMAND [ARGUMENTS]; for the arguments of a command, run it with --help\n";
    for (const auto& it : commands) {
        out << "  " << it.name << "  " << it.help << '\n';
    }
}

exit_code run(const arguments& args) {
    if (args.empty()) {
        print_help(std::cerr);
        return exit_code::usage_error;
    }
    if (args.front() == "--help" || args.front() == "-h") {
        print_help(std::cout);
        return exit_code::success;
    }
    if (args.front() == "--version") {
        std::cout << "skylarkseam " << SKYLARKSEAM_VERSION << '\n';
        return exit_code::success;
    }
    for (const auto& it : commands) {
        if (it.name == args.front()) {
            return it.run({args.begin() + 1, args.end()});
        }
    }
    std::cerr << "unknown command: " << args.front() << '\n';
    print_help(std::cerr);
    return exit_code::usage_error;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return static_cast<int>(run({argv + 1, argv + argc}));
    } catch (const std::exception& ec) {
        std::cerr << "skylarkseam: " << ec.what() << '\n';
        return static_cast<int>(exit_code::failure);
    }
}
