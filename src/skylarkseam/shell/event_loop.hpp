// The one thread of a process: an ACE reactor with timers on a monotonic clock that tests can pause and
// advance.
#pragma once

#include <skylarkseam/core/time.hpp>
#include <skylarkseam/shell/descriptor_set.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace skylarkseam {

using timer_id = std::int64_t;

class event_loop {
public:
    /// Throws std::runtime_error where the reactor does not open.
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// The steady clock; while it is paused, the time to which a test has advanced it.
    [[nodiscard]] time_point now() const;

    /// Calls `task` once at or after `when`.
    timer_id run_at(time_point when, std::function<void()> task);
    timer_id run_after(duration delay, std::function<void()> task) {
        return run_at(now() + delay, std::move(task));
    }
    void cancel(timer_id id);

    /// Calls `task` once, after the current callback has returned.
    void post(std::function<void()> task);

    /// Watches a descriptor, level-triggered, until unwatch(). Watching it again replaces what it is watched
    /// for.
    void watch(int fd, readiness interest, std::function<void(readiness)> on_ready);
    void unwatch(int fd);

    /// Calls `on_signal` in the loop's thread for each SIGTERM and SIGINT.
    void on_termination(std::function<void()> on_signal);

    /// Calls `on_reload` for each SIGHUP and `on_dump` for each SIGUSR1; to be set before on_termination().
    void on_operator_signals(std::function<void()> on_reload, std::function<void()> on_dump);

    /// Runs until stop().
    void run();
    void stop();

    /// Handles what is ready now and waits for at most `longest`; for tests.
    void run_once(duration longest);

    /// Stops the clock; from then on only advance() moves it.
    void pause_clock();
    void advance(duration step);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
