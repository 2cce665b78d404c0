// A cell on virtual time: nodes with clocks of their own, a fake platform and a fake network, both with
// faults, and a checker that watches every dispatch.
#pragma once

#include <skylarkseam/control/cell.hpp>

#include <pcg_random.hpp>

#include <functional>
#include <queue>
#include <set>

namespace skylarkseam::simulation {

/// The platform's store with the one object of the cell, and its faults.
struct fake_platform {
    record_version version = 100;
    std::optional<cell_record> record;
    record_version record_version_now = 0;
    bool down = false;
    bool throttled = false;
    int lose_answers_percent = 0; ///< of updates that took effect
    duration latency = milliseconds(4);
    std::uint64_t calls = 0;
    std::vector<epoch_id> epochs; ///< each epoch written, in order
};

/// Work that a node has sent to a searcher.
struct work {
    std::size_t node = 0;
    time_point end{};
};

struct node {
    member self;
    std::unique_ptr<cell> control;
    bool alive = false;
    time_point paused_until{};
    bool platform_cut = false;
    std::int64_t clock_offset_us = 0;
    std::int64_t clock_rate_ppm = 0;
    authority allowed;
    std::set<std::string> serving;
    std::map<std::string, time_point> stopped;  ///< with when the last work there ends, on the true clock
    std::map<std::string, time_point> last_end; ///< of work at each searcher
    std::vector<std::function<void()>> held;    ///< what arrived during a pause
    bool has_left = false;
    std::uint64_t life = 0; ///< counts starts, so that events of an earlier process are dropped
};

struct cell_options {
    std::size_t nodes = 3;
    std::size_t searchers = 12;
    duration deadline = milliseconds(1000);
    cell_timing timing;
    std::uint64_t seed = 1;
    std::uint32_t clock_skew_ppm = 4000;
    duration network_latency = milliseconds(1);
    /// Waits that a test takes out, to show that the checker notices.
    bool without_guard_wait = false;
};

class cell_simulation {
public:
    explicit cell_simulation(cell_options options);

    void run_for(duration span);
    void at(duration after, std::function<void()> task) { schedule(now_ + after, std::move(task)); }

    void start(std::size_t it);
    void crash(std::size_t it);
    void pause(std::size_t it, duration span);
    void leave(std::size_t it);
    void cut(std::size_t one, std::size_t other) { cut_.insert({one, other}), cut_.insert({other, one}); }
    void heal() { cut_.clear(); }
    void change_searchers(std::size_t n);

    /// Searchers that some node may dispatch to with full authority now.
    [[nodiscard]] std::size_t served() const;
    [[nodiscard]] time_point now() const { return now_; }
    /// The node's own clock.
    [[nodiscard]] time_point local(const node& it) const;
    [[nodiscard]] std::size_t searchers() const { return searchers_; }

    fake_platform platform;
    std::vector<node> nodes;
    std::vector<std::string> violations;
    std::uint64_t dispatches = 0;
    std::uint64_t messages = 0;
    std::uint64_t wakeups = 0; ///< of all nodes' timers
    std::uint64_t message_loss_percent = 0;
    std::size_t served_samples = 0; ///< searchers served, summed over samples
    std::size_t samples = 0;
    duration unserved_longest{}; ///< longest time in a row with any searcher unserved
    pcg32 random;

private:
    struct timed_task {
        time_point at;
        std::uint64_t order;
        std::function<void()> task;
        bool operator>(const timed_task& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(time_point at, std::function<void()> task);
    void deliver(std::size_t to, std::uint64_t life, std::function<void()> task);
    void handle(std::size_t it, cell_input event);
    void act(std::size_t it, cell_output& action);
    void wake(std::size_t it);
    void send(std::size_t from, const cell_action::send_message& action);
    void call_platform(std::size_t from, platform_call_id call,
                       std::optional<cell_action::write_record> write);
    [[nodiscard]] cell_event::platform_answered apply(platform_call_id call,
                                                      const std::optional<cell_action::write_record>& write);
    void serve(std::size_t it, const cell_action::serve& action);
    void dispatch_work(std::size_t it);
    void check_dispatch(std::size_t it, const std::string& searcher, bool full);
    void report_drained(std::size_t it);
    void sample();

    cell_options options_;
    std::size_t searchers_;
    std::shared_ptr<const configuration> config_;
    time_point now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<timed_task, std::vector<timed_task>, std::greater<>> events_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::map<std::string, std::vector<work>> running_; ///< by searcher
    std::optional<time_point> unserved_since_;
};

} // namespace skylarkseam::simulation
