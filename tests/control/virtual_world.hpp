// Virtual time, and a platform in memory that goes down, slows, throttles and loses answers, for the tests of
// what is kept in the platform.
#pragma once

#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/core/time.hpp>

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

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
        clock_.after(delay(), [this, request = std::move(request), on_answer = std::move(on_answer)] {
            const bool lost_request = faults.down || chance(random_, faults.lose_requests);
            const bool throttled = !lost_request && chance(random_, faults.throttle);
            platform_response response;
            if (throttled) {
                response.status = platform_status::throttled;
            } else if (!lost_request) {
                response = apply(request);
            }
            if (lost_request || (!throttled && chance(random_, faults.lose_answers))) {
                response = {};
            }
            clock_.after(delay(), [response, on_answer] { on_answer(response); });
        });
    }

    /// What the platform does with a request that reaches it.
    platform_response apply(const platform_request& request) {
        const auto key = std::pair{request.kind, request.name};
        const auto found = objects.find(key);
        platform_response response;
        response.status = platform_status::ok;
        response.version = std::to_string(version_);
        if (request.method == platform_method::list) {
            for (const auto& [name, object] : objects) {
                if (name.first == request.kind) {
                    response.objects.push_back(object);
                }
            }
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
        if (request.method == platform_method::remove) {
            objects.erase(found);
            return response;
        }
        objects[key] = {request.kind, request.name, version, request.value_json, false};
        response.objects = {objects[key]};
        return response;
    }

private:
    duration delay() {
        return duration(1 + pick(random_, static_cast<std::uint32_t>(faults.slowest.count())));
    }

    virtual_clock& clock_;
    random_source& random_;
    std::uint64_t version_ = 0;
};

} // namespace skylarkseam::testing
