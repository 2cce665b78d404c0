// Virtual time, and a platform in memory that goes down, slows, throttles and loses answers, for the tests of
// what is kept in the platform.
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

/// Tasks in the order of their time; tasks of one time run in the order of being added.
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

inline bool chance(random_source& random, double part) {
    return std::uniform_real_distribution<double>(0, 1)(random) < part;
}

struct platform_faults {
    bool down = false;
    double lose_answers = 0; ///< part of the calls that take effect and answer as unavailable
    double lose_requests = 0;
    double throttle = 0;
    duration slowest = milliseconds(5); ///< each way, at random up to it
};

class fake_platform {
public:
    fake_platform(virtual_clock& clock, random_source& random)
        : clock_(clock)
        , random_(random) {}

    platform_faults faults;
    std::map<platform_method, std::uint64_t> calls;
    std::map<std::pair<std::string, std::string>, platform_object> objects;

    /// Takes effect after a while, and answers a while later; exactly once.
    void send(platform_request request, std::function<void(platform_response)> on_answer) {
        ++calls[request.method];
        const auto give_up = clock_.now() + milliseconds(request.timeout_ms);
        clock_.after(delay(), [this, request = std::move(request), on_answer = std::move(on_answer),
                               give_up] { receive(request, on_answer, give_up); });
    }

    /// What the platform does with a request that reaches it.
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
                 time_point give_up) {
        const bool lost_request = faults.down || chance(random_, faults.lose_requests);
        const bool throttled = !lost_request && chance(random_, faults.throttle);
        platform_response response;
        if (throttled) {
            response.status = platform_status::throttled;
        } else if (!lost_request) {
            response = apply(request);
        }
        const bool quiet = request.method == platform_method::watch && response.objects.empty();
        if (quiet && !throttled && !lost_request && clock_.now() < give_up) {
            hold(request, on_answer, give_up);
            return;
        }
        if (lost_request || (!throttled && chance(random_, faults.lose_answers))) {
            response = {};
        }
        clock_.after(delay(), [response, on_answer] { on_answer(response); });
    }

    /// Keeps a watch until its kind changes or its time is up.
    void hold(const platform_request& request, const std::function<void(platform_response)>& on_answer,
              time_point give_up) {
        const auto again = std::make_shared<bool>(false);
        auto task = [this, request, on_answer, give_up, again] {
            if (!std::exchange(*again, true)) {
                receive(request, on_answer, give_up);
            }
        };
        clock_.at(give_up, task);
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
        return duration(1 + pick(random_, static_cast<std::uint32_t>(faults.slowest.count())));
    }

    virtual_clock& clock_;
    random_source& random_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::vector<platform_object>> changes_;    ///< by kind
    std::map<std::string, std::vector<std::function<void()>>> held_; ///< watches, by kind
};

/// A process around one state machine: it crashes (its state is gone), or is paused (events wait for it).
template <typename Machine, typename Input, typename Output>
class fake_process {
public:
    using performer = std::function<void(Output&)>;

    fake_process(virtual_clock& clock, performer perform)
        : clock_(clock)
        , perform_(std::move(perform)) {}

    void start(std::unique_ptr<Machine> machine) {
        machine_ = std::move(machine);
        ++life_;
        paused_until_ = {};
        arm();
    }
    void crash() { machine_.reset(); }
    void pause(duration length) { paused_until_ = std::max(paused_until_, clock_.now() + length); }
    [[nodiscard]] bool is_up() const { return machine_ != nullptr; }
    [[nodiscard]] std::uint64_t life() const { return life_; }
    Machine& machine() { return *machine_; }

    void feed(Input event) { feed(std::move(event), life_); }

    /// Feeds an event that belongs to one life of the process; dropped in another.
    void feed(Input event, std::uint64_t life) {
        if (!machine_ || life != life_) {
            return;
        }
        if (paused_until_ > clock_.now()) {
            clock_.at(paused_until_, [this, event, life]() mutable { feed(std::move(event), life); });
            return;
        }
        std::vector<Output> out;
        machine_->handle(std::move(event), clock_.now(), out);
        for (auto& it : out) {
            perform_(it);
        }
        arm();
    }

    /// Sends a platform call whose answer is fed back.
    void call(fake_platform& platform, const platform_call& call) {
        platform.send(call.request, [this, life = life_, id = call.id](platform_response response) {
            feed(platform_answer{id, std::move(response)}, life);
        });
    }

private:
    void arm() {
        const auto when = machine_->next_wakeup();
        if (!when || (armed_life_ == life_ && armed_for_ <= *when && armed_for_ > clock_.now())) {
            return;
        }
        armed_for_ = *when;
        armed_life_ = life_;
        clock_.at(*when, [this, life = life_, for_time = *when] {
            if (armed_for_ == for_time) {
                armed_for_ = {};
            }
            feed(typename Machine::time_event{}, life);
        });
    }

    virtual_clock& clock_;
    performer perform_;
    std::unique_ptr<Machine> machine_;
    std::uint64_t life_ = 0;
    time_point paused_until_{};
    time_point armed_for_{};
    std::uint64_t armed_life_ = 0;
};

} // namespace skylarkseam::testing
