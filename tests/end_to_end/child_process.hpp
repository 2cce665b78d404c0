// A program that a test starts, reads the output of, and ends by its process id.
#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace skylarkseam::testing {

class child_process {
public:
    /// Starts `program` with its output, both streams, going to the file `output`.
    child_process(const std::string& program, const std::vector<std::string>& args, std::string output);

    /// Ends the program by SIGKILL where it still runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;

    /// Waits for the program to end by itself; its exit code, or -1 where a signal ended it or the wait was
    /// too long.
    int wait();

    /// The value of `key` in the first line of output that contains `line`; waits for it, empty if it does
    /// not come.
    [[nodiscard]] std::string wait_for(const std::string& line, const std::string& key) const;

    [[nodiscard]] std::string output() const;

    /// Processor time that the running program has used, in microseconds.
    [[nodiscard]] std::int64_t processor_us() const;
    /// Memory that the running program holds, in bytes.
    [[nodiscard]] std::int64_t resident_bytes() const;

private:
    pid_t pid_ = -1;
    std::string output_;
};

} // namespace skylarkseam::testing
