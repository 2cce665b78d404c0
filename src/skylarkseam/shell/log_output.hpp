// Where log lines go: the standard output, through a bounded buffer, so that neither a slow reader nor a
// burst of events holds the process up. What is left out is counted, and a line says how much.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkseam {

/// How much may be written.
struct log_bounds {
    double lines_per_second = 150.0; ///< on average; 10 MB of log an hour of steady trouble
    double burst = 600.0;            ///< lines that may come at once
    std::size_t buffer_bytes = 256U << 10U;
};

/// Invariant: holds at most buffer_bytes, and writes only what the descriptor takes without blocking.
class log_output {
public:
    log_output(int fd, log_bounds bounds);

    /// Takes one line without its end. \param important  it has an allowance of its own, so that a flood of
    /// others does not hide it
    void add(std::string_view line, bool important, time_point now);

    /// Writes what can be written without blocking.
    void flush();

    [[nodiscard]] std::uint64_t left_out() const { return left_out_; }
    [[nodiscard]] bool empty() const { return buffer_.empty(); }

private:
    struct allowance {
        double lines = 0.0;
        time_point filled{};
        [[nodiscard]] bool take(const log_bounds& bounds, time_point now);
    };

    int fd_;
    log_bounds bounds_;
    std::string buffer_;
    allowance usual_;
    allowance important_;
    std::uint64_t left_out_ = 0;
    std::uint64_t left_out_told_ = 0;
};

} // namespace skylarkseam
