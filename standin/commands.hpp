// The subcommands of the stand-in program. Each returns the program's exit code.
#pragma once

namespace skylarkseam::standin {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int run_platform(int argc, char** argv);
int run_searcher(int argc, char** argv);
int run_load_command(int argc, char** argv); ///< fails if an answer was wrong

} // namespace skylarkseam::standin
