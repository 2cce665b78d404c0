// Several hosts that claim effects against one platform and one upstream, on virtual time, with crashes and
// pauses of the hosts.
#pragma once

#include "virtual_world.hpp"

#include <skylarkseam/control/effect_claims.hpp>

#include <memory>

namespace skylarkseam::testing {

/// Counts the runs of each key and of each arrival.
struct counting_upstream {
    double shed = 0;         ///< part that is certainly not run
    double mute = 0;         ///< part that runs without an answer
    double break_before = 0; ///< part that does not run, which nobody can tell
    std::map<std::string, int> runs_by_key;
    std::map<effect_id, int> runs_by_arrival;
    std::map<std::string, std::string> body_by_key;
};

struct effect_world;

class effect_host {
public:
    effect_host(effect_world& world, std::string name)
        : world_(world)
        , name_(std::move(name)) {
        start();
    }

    void start() {
        claims_ = std::make_unique<effect_claims>(name_, ++incarnation_);
        paused_until_ = {};
    }
    void crash() { claims_.reset(); }
    void pause(duration length);
    void feed(effect_input event);
    void submit(effect_id id, query_request request, duration deadline);
    [[nodiscard]] bool is_up() const { return claims_ != nullptr; }
    [[nodiscard]] member self() const { return {name_, incarnation_, "", "", ""}; }
    effect_claims& claims() { return *claims_; }

private:
    void feed_later(effect_input event, std::uint64_t incarnation);
    void perform(effect_output& output);
    void arm();

    effect_world& world_;
    std::string name_;
    std::uint64_t incarnation_ = 0;
    std::unique_ptr<effect_claims> claims_;
    time_point paused_until_{};
};

struct effect_world {
    explicit effect_world(std::uint64_t seed, int hosts_wanted = 3)
        : random(seed)
        , platform(clock, random) {
        for (int it = 0; it < hosts_wanted; ++it) {
            hosts.push_back(std::make_unique<effect_host>(*this, "host" + std::to_string(it)));
        }
        share_members();
    }

    void share_members() {
        std::vector<member> up;
        for (const auto& it : hosts) {
            if (it->is_up()) {
                up.push_back(it->self());
            }
        }
        for (const auto& it : hosts) {
            if (it->is_up()) {
                it->claims().set_members(up);
            }
        }
    }

    /// Sends a request to a host now; its answer is found in `answers` under the returned id.
    effect_id submit(std::size_t host, const std::string& key, const std::string& body = "{}",
                     duration deadline = seconds(2)) {
        query_request request;
        request.caller = "integra";
        request.service = "billing";
        request.query_json = body;
        request.idempotency_key = key;
        const auto id = ++last_id;
        key_of[id] = key;
        hosts[host]->submit(id, request, deadline);
        return id;
    }

    void run_for(duration length) { clock.run_until(clock.now() + length); }

    virtual_clock clock;
    random_source random;
    fake_platform platform;
    counting_upstream upstream;
    std::vector<std::unique_ptr<effect_host>> hosts;
    std::map<effect_id, result<effect_answer>> answers;
    std::map<effect_id, int> answer_counts;
    std::map<effect_id, std::string> key_of;
    effect_id last_id = 0;
};

inline void effect_host::pause(duration length) {
    paused_until_ = std::max(paused_until_, world_.clock.now() + length);
}

inline void effect_host::submit(effect_id id, query_request request, duration deadline) {
    feed(effect_event::request_arrived{id, std::move(request), world_.clock.now() + deadline});
}

inline void effect_host::feed(effect_input event) {
    feed_later(std::move(event), incarnation_);
}

inline void effect_host::feed_later(effect_input event, std::uint64_t incarnation) {
    if (!claims_ || incarnation != incarnation_) {
        return;
    }
    if (paused_until_ > world_.clock.now()) {
        world_.clock.at(paused_until_,
                        [this, event, incarnation]() mutable { feed_later(std::move(event), incarnation); });
        return;
    }
    std::vector<effect_output> out;
    claims_->handle(std::move(event), world_.clock.now(), out);
    for (auto& it : out) {
        perform(it);
    }
    arm();
}

inline void effect_host::arm() {
    if (const auto when = claims_->next_wakeup()) {
        world_.clock.at(*when, [this, incarnation = incarnation_] {
            feed_later(effect_event::time_passed{}, incarnation);
        });
    }
}

inline void effect_host::perform(effect_output& output) {
    const auto incarnation = incarnation_;
    if (auto* call = std::get_if<platform_call>(&output)) {
        world_.platform.send(call->request, [this, incarnation, id = call->id](platform_response response) {
            feed_later(platform_answer{id, std::move(response)}, incarnation);
        });
        return;
    }
    if (auto* answer = std::get_if<effect_action::answer_effect>(&output)) {
        ++world_.answer_counts[answer->id];
        world_.answers.insert_or_assign(answer->id, answer->answer);
        return;
    }
    auto& run = std::get<effect_action::run_effect>(output);
    world_.clock.after(milliseconds(1 + pick(world_.random, 20)), [this, run, incarnation] {
        auto& upstream = world_.upstream;
        const auto end = [&](effect_end how, const std::string& body) {
            world_.clock.after(
                milliseconds(1 + pick(world_.random, 20)), [this, run, how, body, incarnation] {
                    feed_later(
                        effect_event::effect_ended{run.id, how, body, make_error(error_kind::overloaded, "")},
                        incarnation);
                });
        };
        if (chance(world_.random, upstream.shed)) {
            return end(effect_end::not_run, "");
        }
        if (chance(world_.random, upstream.break_before)) {
            return end(effect_end::unknown, "");
        }
        ++upstream.runs_by_key[run.request.idempotency_key];
        ++upstream.runs_by_arrival[run.id];
        const auto body = "\"run of " + std::to_string(run.id) + "\"";
        upstream.body_by_key[run.request.idempotency_key] = body;
        if (chance(world_.random, upstream.mute)) {
            return end(effect_end::unknown, "");
        }
        end(effect_end::answered, body);
    });
}

} // namespace skylarkseam::testing
