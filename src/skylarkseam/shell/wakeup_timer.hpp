// The one timer of a part of the core: it fires when that part has said it is due next.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>

#include <functional>
#include <optional>

namespace skylarkseam {

class wakeup_timer {
public:
    wakeup_timer(event_loop& loop, std::function<void()> task)
        : loop_(loop)
        , task_(std::move(task)) {}

    ~wakeup_timer() { stop(); }
    wakeup_timer(const wakeup_timer&) = delete;
    wakeup_timer& operator=(const wakeup_timer&) = delete;

    /// Fires at `when` or before. A timer that is set for an earlier time stays: the core takes an early
    /// wake-up as nothing to do, and setting timers anew for each event would cost more.
    void set(std::optional<time_point> when) {
        if (!when || (timer_ >= 0 && due_ <= *when)) {
            return;
        }
        stop();
        due_ = *when;
        timer_ = loop_.run_at(due_, [this] {
            timer_ = -1;
            task_();
        });
    }

private:
    void stop() {
        if (timer_ >= 0) {
            loop_.cancel(timer_);
            timer_ = -1;
        }
    }

    event_loop& loop_;
    std::function<void()> task_;
    timer_id timer_ = -1;
    time_point due_{};
};

} // namespace skylarkseam
