// Simulation of several hosts that claim effects in one platform and dispatch to one upstream, in virtual
// time, with crashes and pauses of the hosts.
#pragma once

#include "virtual_world.hpp"

#include <skylarkseam/control/effect_claims.hpp>

#include <memory>

namespace skylarkseam::testing {

/// Upstream that counts the runs of each key and of each arrival.
struct counting_upstream {
    double not_run_share = 0;     ///< Share of requests that certainly do not run.
    double unanswered_share = 0;  ///< Share of requests that run but get no answer.
    double undelivered_share = 0; ///< Share of requests that do not run but end as unknown.
    std::map<std::string, int> runs_by_key;
    std::map<effect_id, int> runs_by_arrival;
    std::map<std::string, std::string> body_by_key;

    std::pair<effect_end, std::string> run(const effect_action::run_effect& it, random_source& random) {
        if (chance(random, not_run_share)) {
            return {effect_end::not_run, ""};
        }
        if (chance(random, undelivered_share)) {
            return {effect_end::unknown, ""};
        }
        const auto& key = it.request.idempotency_key;
        ++runs_by_key[key];
        ++runs_by_arrival[it.id];
        body_by_key[key] = "\"run of " + std::to_string(it.id) + "\"";
        return chance(random, unanswered_share) ? std::pair{effect_end::unknown, std::string()}
                                                : std::pair{effect_end::answered, body_by_key[key]};
    }
};

struct effect_world;

class effect_host {
public:
    effect_host(effect_world& world, std::string name);

    void start() { process_.start(std::make_unique<effect_claims>(name_, process_.incarnation() + 1)); }
    void crash() { process_.crash(); }
    void pause(duration length) { process_.pause(length); }
    void submit(effect_id id, query_request request, duration deadline);
    [[nodiscard]] bool is_up() const { return process_.is_up(); }
    [[nodiscard]] member self() const { return {name_, process_.incarnation(), "", "", ""}; }
    effect_claims& claims() { return process_.machine(); }

private:
    void perform(effect_output& output);

    effect_world& world_;
    std::string name_;
    fake_process<effect_claims, effect_input, effect_output> process_;
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

    /// Sends a request to a host now. `answers` later holds the answer under the returned id.
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

inline effect_host::effect_host(effect_world& world, std::string name)
    : world_(world)
    , name_(std::move(name))
    , process_(world.clock, [this](effect_output& output) { perform(output); }) {
    start();
}

inline void effect_host::submit(effect_id id, query_request request, duration deadline) {
    process_.feed(effect_event::request_arrived{id, std::move(request), world_.clock.now() + deadline});
}

inline void effect_host::perform(effect_output& output) {
    if (auto* call = std::get_if<platform_call>(&output)) {
        process_.call(world_.platform, *call);
    } else if (auto* answer = std::get_if<effect_action::answer_effect>(&output)) {
        ++world_.answer_counts[answer->id];
        world_.answers.insert_or_assign(answer->id, answer->answer);
    } else {
        const auto& it = std::get<effect_action::run_effect>(output);
        world_.clock.after(
            milliseconds(1 + pick(world_.random, 20)), [this, it, incarnation = process_.incarnation()] {
                const auto [end, body] = world_.upstream.run(it, world_.random);
                world_.clock.after(milliseconds(1 + pick(world_.random, 20)), [this, it, incarnation,
                                                                               end_kind = end, text = body] {
                    const auto failure = make_error(error_kind::overloaded, "");
                    process_.feed(effect_event::effect_ended{it.id, end_kind, text, failure}, incarnation);
                });
            });
    }
}

} // namespace skylarkseam::testing
