// Simulation of any number of nodes on virtual time, with configuration followers, a fake platform with
// faults, and messages that are delayed or lost. A seed makes each run repeatable.
#pragma once

#include <skylarkseam/control/configuration_follower.hpp>

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace skylarkseam::testing {

/// Returns a codec whose values are plain text, for tests that do not concern JSON.
[[nodiscard]] const configuration_codec& plain_codec();
/// Returns a head that contains this body.
[[nodiscard]] configuration_head plain_head(generation_id generation, const std::string& token,
                                            const std::string& body);

/// Faults of the fake platform. A test may set and clear them at any time.
struct platform_faults {
    bool down = false;
    bool throttled = false;
    bool lose_answers = false; ///< Calls take effect, but their answers are lost.
    bool stale_reads = false;  ///< Reads return the last stale snapshot.
    duration latency = milliseconds(3);
    duration watch_lag{};
};

/// Fake object store of the platform. It answers immediately; `world` delays the answers.
class fake_platform {
public:
    platform_faults faults;
    std::uint64_t calls = 0;

    platform_response answer(const platform_request& request, time_point now);
    /// Returns whether an open watch can be answered.
    [[nodiscard]] bool has_changes(const platform_request& watch, time_point now) const;
    /// Copies the objects into the snapshot that stale reads return.
    void take_stale_snapshot() { stale_snapshot_ = objects_; }
    /// Returns the current value of an object, whatever faults are set; empty if there is none.
    [[nodiscard]] std::string value(const std::string& kind, const std::string& name) const;

private:
    struct stored {
        std::uint64_t version = 0;
        std::string value;
        time_point changed{};
    };
    using key = std::pair<std::string, std::string>;

    platform_response write(const platform_request& request, time_point now);
    [[nodiscard]] platform_response read(const platform_request& request, time_point now) const;
    static platform_object to_object(const key& name, const stored& it);

    std::uint64_t version_ = 0;
    std::map<key, stored> objects_;
    std::map<key, stored> stale_snapshot_;
};

struct world_options {
    std::size_t nodes = 3;
    std::uint64_t seed = 1;
    double loss = 0.0; ///< Loss probability of each message, in each direction.
    duration min_latency = microseconds(500);
    duration max_latency = milliseconds(20);
    const configuration_codec* codec = nullptr; ///< Codec of the values; plain_codec() if null.
    /// Returns the size of an encoded message in bytes.
    std::function<std::size_t(const any_configuration_message&)> size_of = nullptr;
};

class world {
public:
    explicit world(world_options options);
    ~world() = default;
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    struct node {
        std::unique_ptr<configuration_follower> follower;
        std::uint64_t incarnation = 0;
        std::vector<generation_id> history; ///< Generations put in force since the last start, in order.
        std::vector<std::string> refusals;
        time_point in_force_at{};
        std::optional<time_point> wakeup;
        std::uint64_t messages = 0; ///< Number of requests and replies, sent and received.
        std::uint64_t bytes = 0;
    };

    fake_platform platform;
    /// Returns whether two nodes can exchange messages; if not set, all nodes can.
    std::function<bool(std::size_t, std::size_t)> connected;

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] node& at(std::size_t n) { return nodes_[n]; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] generation_id generation(std::size_t n) const;
    [[nodiscard]] bool all_have(generation_id generation) const;

    void start(std::size_t n);
    void stop(std::size_t n);
    void set_watching(std::size_t n, bool watching);
    void run(duration length);
    /// Runs until every node has `generation` in force. Returns the elapsed time, or nothing after `longest`.
    std::optional<duration> run_until_all_have(generation_id generation, duration longest);
    /// Writes a generation into the fake platform, without its faults.
    void apply(generation_id generation, const std::string& body);

private:
    struct scheduled {
        time_point at;
        std::uint64_t order;
        std::function<void()> task;
        bool operator>(const scheduled& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(duration delay, std::function<void()> task);
    bool step(time_point end);
    void perform(std::size_t n, std::vector<follower_output> out);
    void perform(std::size_t n, follower_action::call_platform& action);
    void perform(std::size_t n, follower_action::call_peer& action);
    void hold_watch(std::size_t n, std::uint64_t incarnation, follower_call_id id, platform_request request,
                    time_point until);
    void deliver(std::size_t n, std::uint64_t incarnation, follower_input event);
    void schedule_wakeup(std::size_t n);
    void count_traffic(std::size_t a, std::size_t b, const any_configuration_message& message);
    bool lost();
    duration latency();

    world_options options_;
    pcg32 random_;
    time_point now_{};
    std::uint64_t order_ = 0;
    std::vector<node> nodes_;
    std::map<std::string, std::size_t> by_address_;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> queue_;
};

} // namespace skylarkseam::testing
