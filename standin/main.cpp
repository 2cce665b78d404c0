// The test program that takes the place of what is outside: the platform, the searchers and the callers.
#include "standin/commands.hpp"

#include <exception>
#include <iostream>
#include <string_view>

namespace {

using namespace skylarkseam::standin;

constexpr std::string_view usage = "usage: skylarkseam-standin COMMAND [OPTION...]\n"
                                   "  platform   the platform's object API\n"
                                   "  searcher   any number of searchers\n"
                                   "  load       callers: queries at a stated rate, and a report\n"
                                   "Each command has --help; --version prints the version.\n";

int run(int argc, char** argv) {
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "platform") {
        return run_platform(argc - 1, argv + 1);
    }
    if (command == "searcher") {
        return run_searcher(argc - 1, argv + 1);
    }
    if (command == "load") {
        return run_load_command(argc - 1, argv + 1);
    }
    if (command == "--version") {
        std::cout << "skylarkseam-standin " << SKYLARKSEAM_VERSION << '\n';
        return exit_done;
    }
    const bool asked = command == "--help" || command == "-h";
    (asked ? std::cout : std::cerr) << usage;
    return asked ? exit_done : exit_usage;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& ex) {
        std::cerr << "skylarkseam-standin: " << ex.what() << '\n';
        return exit_failed;
    }
}
