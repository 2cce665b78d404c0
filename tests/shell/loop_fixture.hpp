// An event loop that a test runs until something has happened, within a bound of turns.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>

#include <functional>

namespace skylarkseam {

struct loop_fixture {
    event_loop loop;

    /// Runs the loop until `done`; false where that did not happen within the bound.
    bool run_until(const std::function<bool()>& done) {
        constexpr int most_turns = 20'000;
        for (int it = 0; it < most_turns && !done(); ++it) {
            loop.run_once(milliseconds(1));
        }
        return done();
    }

    /// Runs a number of turns, in which something must not happen.
    void run_turns(int n) {
        for (int it = 0; it < n; ++it) {
            loop.run_once(milliseconds(1));
        }
    }
};

} // namespace skylarkseam
