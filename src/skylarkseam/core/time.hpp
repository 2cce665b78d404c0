// Time types of the core. The core does not read a clock: each event carries the time at which it happened,
// which the shell (or a test) takes from its own steady clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace skylarkseam {

/// Clock type of the core's time points, which represents the node's steady clock. It has no now(), so core
/// code cannot read the clock.
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

/// Converts a duration to whole milliseconds, the unit of headers and settings. Fractions are truncated.
constexpr std::int64_t to_ms(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace skylarkseam
