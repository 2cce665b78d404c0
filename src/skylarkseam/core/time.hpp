// The time types of the core. The core never reads a clock: each event carries the time at which it happened,
// and the shell (or a test) supplies it from a steady clock of its own.
#pragma once

#include <chrono>
#include <cstdint>

namespace skylarkseam {

/// The node's steady clock as the core sees it. It has no now(), so that no decision can read it.
struct steady_time {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<steady_time>;
    static constexpr bool is_steady = true;
};

using duration = steady_time::duration;
using time_point = steady_time::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds, rounded down, as headers and settings state them.
constexpr std::int64_t to_ms(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace skylarkseam
