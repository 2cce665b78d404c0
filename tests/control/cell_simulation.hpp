// Simulation of a cell on virtual time: nodes with separate clocks, a fake platform and a fake network with
// fault injection, and a checker that inspects every dispatch.
#pragma once

#include <skylarkseam/control/cell.hpp>

#include <pcg_random.hpp>

#include <functional>
#include <queue>
#include <set>

namespace skylarkseam::simulation {

/// Store of the platform with the cell's record, and its injected faults.
struct fake_platform {
    record_version version = 100; ///< Last version that the store has issued.
    std::optional<cell_record> record;
    record_version stored_version = 0;
    bool down = false;
    bool throttled = false;
    int lose_answers_percent = 0; ///< Share of applied updates whose answer is lost.
    duration latency = milliseconds(4);
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::set<std::string> hosts;  ///< Hosts that the platform lists.
    std::vector<epoch_id> epochs; ///< Epoch of each write, in order.
};

/// Work that a node has sent to a searcher and that runs until `end`.
struct running_work {
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
    authority granted_authority;
    std::set<std::string> serving;
    /// End of the last work at each searcher no longer served, in simulated time.
    std::map<std::string, time_point> stopped;
    std::map<std::string, time_point> last_work_end;   ///< End of the last work at each searcher.
    std::vector<std::function<void()>> deferred_tasks; ///< Tasks that arrived during a pause.
    bool has_left = false;
    /// Number that changes at each start and crash; events of an earlier process are dropped.
    std::uint64_t process_id = 0;
};

struct cell_options {
    std::size_t nodes = 3;
    std::size_t searchers = 12;
    duration deadline = milliseconds(1000);
    cell_timing timing;
    std::uint64_t seed = 1;
    std::uint32_t clock_skew_ppm = 4000;
    duration network_latency = milliseconds(1);
    /// Removes the handover waits, to show that the checker detects the resulting conflicts.
    bool skip_handover_wait = false;
};

class cell_simulation {
public:
    explicit cell_simulation(cell_options options);

    void run_for(duration span);
    void at(duration after, std::function<void()> task) { schedule(now_ + after, std::move(task)); }

    void start(std::size_t it);
    /// Starts a node on a new host in place of a terminated one.
    void replace(std::size_t it);
    void crash(std::size_t it);
    void pause(std::size_t it, duration span);
    void leave(std::size_t it);
    void cut(std::size_t one, std::size_t other) {
        broken_links_.insert({one, other}), broken_links_.insert({other, one});
    }
    void heal() { broken_links_.clear(); }
    void change_searchers(std::size_t n);

    /// Returns the number of searchers that some node may dispatch to with full authority now.
    [[nodiscard]] std::size_t served() const;
    [[nodiscard]] time_point now() const { return now_; }
    /// Returns the time by the node's own clock.
    [[nodiscard]] time_point local_time(const node& it) const;
    [[nodiscard]] std::size_t searchers() const { return searchers_; }

    fake_platform platform;
    std::vector<node> nodes;
    std::vector<std::string> violations;
    std::uint64_t dispatches = 0;
    std::uint64_t messages = 0;
    std::uint64_t wakeups = 0; ///< Number of timer wake-ups of all nodes.
    std::uint64_t message_loss_percent = 0;
    std::function<void(const cell_envelope&)> on_message; ///< Called for each message between nodes.
    std::function<void(const cell_record&)> on_write;     ///< Called for each update sent to the platform.
    std::size_t served_samples = 0;                       ///< Sum of the served searchers over all samples.
    std::size_t samples = 0;
    duration unserved_longest{}; ///< Longest continuous time with at least one unserved searcher.
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
    void deliver(std::size_t to, std::uint64_t process_id, std::function<void()> task);
    void handle(std::size_t it, cell_input event);
    void perform(std::size_t it, cell_output& action);
    void schedule_wakeup(std::size_t it);
    void send(std::size_t from, const cell_action::send_message& action);
    void list_hosts(std::size_t from);
    void call_platform(std::size_t from, platform_call_id call,
                       std::optional<cell_action::write_record> write);
    [[nodiscard]] cell_event::platform_answered apply(platform_call_id call,
                                                      const std::optional<cell_action::write_record>& write);
    void serve(std::size_t it, const cell_action::serve& action);
    void dispatch_work(std::size_t it);
    /// Records a violation if another node has any authority over the searcher, even for warm searchers only,
    /// or still has work there.
    void check_dispatch(std::size_t it, const std::string& searcher);
    void report_drained(std::size_t it);
    void sample();

    cell_options options_;
    std::size_t searchers_;
    std::shared_ptr<const configuration> config_;
    time_point now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<timed_task, std::vector<timed_task>, std::greater<>> events_;
    std::set<std::pair<std::size_t, std::size_t>> broken_links_;
    std::map<std::string, std::vector<running_work>> running_; ///< Work in progress, by searcher.
    std::optional<time_point> unserved_since_;
};

} // namespace skylarkseam::simulation
