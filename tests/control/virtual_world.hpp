// Virtual time, and an in-memory platform with outages, delays, throttling and lost answers, for tests of
// state that is stored in the platform.
#pragma once

#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/core/time.hpp>

#include <pcg_random.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace skylarkseam::testing {

/// Runs tasks in the order of their times. Tasks of the same time run in the order in which they were added.
class virtual_clock {
public:
    [[nodiscard]] time_point now() const { return now_; }
    void at(time_point when, std::function<void()> task) {
        tasks_.emplace(std::pair{std::max(when, now_), ++added_}, std::move(task));
    }
    void after(duration delay, std::function<void()> task) { at(now_ + delay, std::move(task)); }
    void run_until(time_point end) {
        while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
            auto next = tasks_.extract(tasks_.begin());
            now_ = next.key().first;
            next.mapped()();
        }
        now_ = std::max(now_, end);
    }

private:
    time_point now_{seconds(1000)};
    std::uint64_t added_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> tasks_;
};

using random_source = pcg32;

inline std::uint32_t pick(random_source& random, std::uint32_t n) {
    return std::uniform_int_distribution<std::uint32_t>(0, n - 1)(random);
}

inline bool chance(random_source& random, double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

struct platform_faults {
    bool down = false;
    double lose_answers = 0; ///< Share of calls that take effect but are answered as unavailable.
    double lose_requests = 0;
    double throttle = 0;
    duration max_delay = milliseconds(5); ///< Upper bound of the random delay in each direction.
};

class fake_platform {
public:
    fake_platform(virtual_clock& clock, random_source& random)
        : clock_(clock)
        , random_(random) {}

    platform_faults faults;
    std::map<platform_method, std::uint64_t> calls;
    std::map<std::pair<std::string, std::string>, platform_object> objects;

    /// Applies the request after a random delay, and answers exactly once after another one.
    void send(platform_request request, std::function<void(platform_response)> on_answer) {
        ++calls[request.method];
        const auto expires_at = clock_.now() + milliseconds(request.timeout_ms);
        clock_.after(delay(), [this, request = std::move(request), on_answer = std::move(on_answer),
                               expires_at] { receive(request, on_answer, expires_at); });
    }

    /// Applies a request that has reached the platform, and returns the response.
    platform_response apply(const platform_request& request) {
        const auto key = std::pair{request.kind, request.name};
        const auto found = objects.find(key);
        platform_response response;
        response.status = platform_status::ok;
        response.version = std::to_string(version_);
        if (request.method == platform_method::list) {
            for (auto it = objects.lower_bound({request.kind, ""});
                 it != objects.end() && it->first.first == request.kind; ++it) {
                response.objects.push_back(it->second);
            }
            return response;
        }
        if (request.method == platform_method::watch) {
            const auto& changes = changes_[request.kind];
            const auto known = std::stoull(request.version);
            const auto is_new = [&](const platform_object& it) { return std::stoull(it.version) > known; };
            const auto first = std::find_if_not(changes.rbegin(), changes.rend(), is_new).base();
            response.objects.assign(first, changes.end());
            return response;
        }
        if (request.method != platform_method::create && found == objects.end()) {
            response.status = platform_status::not_found;
            return response;
        }
        if (request.method == platform_method::get) {
            response.objects = {found->second};
            return response;
        }
        const bool exists = found != objects.end();
        const bool fits =
            request.method == platform_method::create ? !exists : found->second.version == request.version;
        if (!fits) {
            response.status = platform_status::conflict;
            return response;
        }
        const auto version = std::to_string(++version_);
        const bool removes = request.method == platform_method::remove;
        const platform_object changed{request.kind, request.name, version, request.value_json, removes};
        record_change(changed);
        if (removes) {
            objects.erase(found);
            return response;
        }
        objects[key] = changed;
        response.objects = {objects[key]};
        return response;
    }

private:
    void receive(const platform_request& request, const std::function<void(platform_response)>& on_answer,
                 time_point expires_at) {
        const bool lost_request = faults.down || chance(random_, faults.lose_requests);
        const bool throttled = !lost_request && chance(random_, faults.throttle);
        platform_response response;
        if (throttled) {
            response.status = platform_status::throttled;
        } else if (!lost_request) {
            response = apply(request);
        }
        const bool has_no_changes = request.method == platform_method::watch && response.objects.empty();
        if (has_no_changes && !throttled && !lost_request && clock_.now() < expires_at) {
            hold(request, on_answer, expires_at);
            return;
        }
        if (lost_request || (!throttled && chance(random_, faults.lose_answers))) {
            response = {};
        }
        clock_.after(delay(), [response, on_answer] { on_answer(response); });
    }

    /// Holds a watch until its kind changes or its timeout expires.
    void hold(const platform_request& request, const std::function<void(platform_response)>& on_answer,
              time_point expires_at) {
        const auto resumed = std::make_shared<bool>(false);
        auto task = [this, request, on_answer, expires_at, resumed] {
            if (!std::exchange(*resumed, true)) {
                receive(request, on_answer, expires_at);
            }
        };
        clock_.at(expires_at, task);
        held_[request.kind].emplace_back(std::move(task));
    }

    void record_change(platform_object change) {
        for (auto& it : held_[change.kind]) {
            clock_.after(duration(1), std::move(it));
        }
        held_[change.kind].clear();
        changes_[change.kind].push_back(std::move(change));
    }

    duration delay() {
        return duration(1 + pick(random_, static_cast<std::uint32_t>(faults.max_delay.count())));
    }

    virtual_clock& clock_;
    random_source& random_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::vector<platform_object>> changes_;    ///< Changes by kind.
    std::map<std::string, std::vector<std::function<void()>>> held_; ///< Held watches by kind.
};

/// Process that runs one state machine. A crash discards its state; a pause delays its events.
template <typename Machine, typename Input, typename Output>
class fake_process {
public:
    using performer = std::function<void(Output&)>;

    fake_process(virtual_clock& clock, performer perform)
        : clock_(clock)
        , perform_(std::move(perform)) {}

    void start(std::unique_ptr<Machine> machine) {
        machine_ = std::move(machine);
        ++incarnation_;
        paused_until_ = {};
        arm();
    }
    void crash() { machine_.reset(); }
    void pause(duration length) { paused_until_ = std::max(paused_until_, clock_.now() + length); }
    [[nodiscard]] bool is_up() const { return machine_ != nullptr; }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    Machine& machine() { return *machine_; }

    void feed(Input event) { feed(std::move(event), incarnation_); }

    /// Feeds an event that belongs to one incarnation of the process. Any other incarnation drops it.
    void feed(Input event, std::uint64_t incarnation) {
        if (!machine_ || incarnation != incarnation_) {
            return;
        }
        if (paused_until_ > clock_.now()) {
            clock_.at(paused_until_,
                      [this, event, incarnation]() mutable { feed(std::move(event), incarnation); });
            return;
        }
        std::vector<Output> out;
        machine_->handle(std::move(event), clock_.now(), out);
        for (auto& it : out) {
            perform_(it);
        }
        arm();
    }

    /// Sends a platform call and feeds its answer back to the state machine.
    void call(fake_platform& platform, const platform_call& call) {
        platform.send(call.request,
                      [this, incarnation = incarnation_, id = call.id](platform_response response) {
                          feed(platform_answer{id, std::move(response)}, incarnation);
                      });
    }

private:
    void arm() {
        const auto when = machine_->next_wakeup();
        if (!when ||
            (armed_incarnation_ == incarnation_ && armed_for_ <= *when && armed_for_ > clock_.now())) {
            return;
        }
        armed_for_ = *when;
        armed_incarnation_ = incarnation_;
        clock_.at(*when, [this, incarnation = incarnation_, for_time = *when] {
            if (armed_for_ == for_time) {
                armed_for_ = {};
            }
            feed(typename Machine::time_event{}, incarnation);
        });
    }

    virtual_clock& clock_;
    performer perform_;
    std::unique_ptr<Machine> machine_;
    std::uint64_t incarnation_ = 0;
    time_point paused_until_{};
    time_point armed_for_{};
    std::uint64_t armed_incarnation_ = 0;
};

} // namespace skylarkseam::testing
