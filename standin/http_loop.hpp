// The one thread of a stand-in: an epoll loop with timers and the steady clock that drives its HTTP fronts.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <functional>
#include <map>

namespace skylarkseam::standin {

class http_loop {
public:
    http_loop();
    ~http_loop();
    http_loop(const http_loop&) = delete;
    http_loop& operator=(const http_loop&) = delete;

    [[nodiscard]] time_point now() const;

    /// Calls `task` once at or after `when`, from run().
    void run_at(time_point when, std::function<void()> task);

    /// Calls `on_ready` whenever the descriptor is readable, and again at once while it returns true.
    void watch(int fd, std::function<bool()> on_ready);
    void unwatch(int fd);
    /// Calls the callback of a watched descriptor soon, ready or not.
    void wake(int fd) { again_[fd] = true; }

    /// Runs until SIGTERM or SIGINT.
    void run();

    /// Handles what is ready now and waits for at most `longest`.
    void run_once(duration longest);

private:
    void run_due_timers();
    [[nodiscard]] duration wait_time(duration longest) const;

    int epoll_fd_ = -1;
    int signal_fd_ = -1;
    bool stopped_ = false;
    std::multimap<time_point, std::function<void()>> timers_;
    std::map<int, std::function<bool()>> watched_;
    std::map<int, bool> again_; ///< descriptors whose callback asked to be called again
};

} // namespace skylarkseam::standin
