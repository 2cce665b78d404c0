// Searchers of the simulated world, and the connections of its hosts to them.
#include "gateway_world.hpp"

namespace skylarkseam::testing {

duration gateway_world::link(std::uint32_t host, const model_searcher& it) const {
    return host_zones_[host] == it.record.zone ? in_zone : cross_region;
}

void gateway_world::send(std::uint32_t host, const gateway_action::send& action) {
    auto& target = *by_address_.at(action.address);
    const auto& [id, path, when] = requests_.at(action.token);
    auto attempt = std::make_shared<in_flight_attempt>(
        in_flight_attempt{host, action.id, &target, false, false, false, path, action.searcher});
    in_flight_[(attempt_id{host} << 48U) | action.id] = attempt;
    target.most_open = std::max(target.most_open, ++target.open);
    if (lose(host, attempt, action)) {
        return;
    }
    if (deadly_paths.contains(path)) {
        deadly_sent.push_back({path, host, action.searcher, now});
    }
    after(connect(attempt) + link(host, target),
          [this, &target, attempt, request = id] { arrive(target, attempt, request); });
}

duration gateway_world::connect(const std::shared_ptr<in_flight_attempt>& attempt) {
    if (!handshake_time) {
        return {};
    }
    auto& idle = idle_connections_[{attempt->host, attempt->target->record.address}];
    std::erase_if(idle, [this](const auto& since) { return now - since > connection_idle_time; });
    if (!idle.empty()) {
        idle.pop_back();
        return {};
    }
    attempt->connect_time = 2 * link(attempt->host, *attempt->target) + *handshake_time;
    const auto deliver = [this, attempt](duration delay, const gateway_input& input) {
        after(delay, [this, attempt, input] {
            if (!attempt->cancelled) {
                handle(attempt->host, input);
            }
        });
    };
    deliver({}, gateway_event::attempt_connecting{attempt->id});
    deliver(*attempt->connect_time, gateway_event::attempt_sent{attempt->id});
    return *attempt->connect_time;
}

void gateway_world::arrive(model_searcher& it, const std::shared_ptr<in_flight_attempt>& attempt,
                           const std::string& id) {
    if (it.behaviour.unreachable || attempt->cancelled) {
        return;
    }
    attempt_result result;
    if (it.ended) {
        result.outcome = attempt_outcome::not_sent;
        result.connection_refused = true;
        reply(it, attempt, result);
        return;
    }
    attempt->arrived = true;
    result.searcher_leaving = it.behaviour.leaving;
    result.rate_limit = it.behaviour.rate_limit;
    if (it.behaviour.replaced || attempt->searcher != it.record.id) {
        result.outcome = attempt_outcome::replaced;
        reply(it, attempt, result);
        return;
    }
    ++it.arrivals;
    it.arrival_log.push_back({attempt->host, now});
    extra_arrivals += arrivals_[it.record.service][id]++ > 0 ? 1 : 0;
    if (it.behaviour.back_off) {
        result.outcome = attempt_outcome::refused;
        result.back_off = it.behaviour.back_off;
        reply(it, attempt, result);
        return;
    }
    if (uniform() < it.behaviour.refused_share || it.queued.size() >= it.queue_limit) {
        result.outcome = attempt_outcome::refused;
        if (!it.behaviour.refusals_state_limit) {
            result.rate_limit.reset();
        }
        reply(it, attempt, result);
        return;
    }
    if (it.behaviour.instant_answer) {
        ++runs_[it.record.service][id];
        reply(it, attempt, *it.behaviour.instant_answer);
        return;
    }
    if (it.running < it.record.slots) {
        run(it, attempt, id);
        return;
    }
    it.queued.emplace_back([this, &it, attempt, id] { run(it, attempt, id); });
}

duration gateway_world::pause_left(const model_searcher& it) const {
    if (it.behaviour.pause_every == duration::zero()) {
        return {};
    }
    const auto phase = (now.time_since_epoch() + it.behaviour.pause_offset) % it.behaviour.pause_every;
    return phase < it.behaviour.pause ? it.behaviour.pause - phase : duration::zero();
}

void gateway_world::run(model_searcher& it, const std::shared_ptr<in_flight_attempt>& attempt,
                        const std::string& id) {
    if (attempt->cancelled) {
        return;
    }
    ++it.running;
    ++runs_[it.record.service][id];
    const double factor = (0.6 + 0.8 * uniform()) * it.behaviour.slowdown;
    const auto processing_time =
        duration(static_cast<std::int64_t>(static_cast<double>(work.count()) * factor));
    const bool deadly = deadly_paths.contains(attempt->path);
    if (deadly) {
        after(processing_time / 3, [this, &it, attempt, start = it.start] {
            if (!it.ended && it.start == start) {
                crashes.push_back({attempt->path, attempt->host, it.record.id, now});
                crash(it);
            }
        });
    }
    after(processing_time + pause_left(it), [this, &it, attempt, id, start = it.start] {
        if (it.ended || it.start != start) {
            return;
        }
        --it.running;
        attempt_result result;
        result.outcome = attempt_outcome::answered;
        result.searcher_leaving = it.behaviour.leaving;
        result.rate_limit = it.behaviour.rate_limit;
        result.response.status = uniform() < it.behaviour.failed_share ? it.behaviour.failed_status : 200;
        result.response.proof = it.record.id + ":" + id;
        result.response.body = std::string(16, 'r');
        if (uniform() < it.behaviour.lost_share) {
            result = {};
            result.connection_lost = true;
        }
        if (!it.behaviour.unreachable) {
            reply(it, attempt, result);
        }
        while (!it.queued.empty() && it.running < it.record.slots) {
            auto next = std::move(it.queued.front());
            it.queued.erase(it.queued.begin());
            next();
        }
    });
}

void gateway_world::remove_in_flight(attempt_id key) {
    const auto found = in_flight_.find(key);
    --found->second->target->open;
    in_flight_.erase(found);
}

void gateway_world::reply(const model_searcher& from, const std::shared_ptr<in_flight_attempt>& attempt,
                          attempt_result result) {
    if (std::exchange(attempt->replied, true) || links[attempt->host] == upstream_links::hanging ||
        links[attempt->host] == upstream_links::mute) {
        return;
    }
    result.connect_time = attempt->connect_time;
    after(link(attempt->host, from), [this, attempt, result = std::move(result)] {
        if (attempt->cancelled) {
            return;
        }
        if (result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::refused) {
            idle_connections_[{attempt->host, attempt->target->record.address}].push_back(now);
        }
        remove_in_flight((attempt_id{attempt->host} << 48U) | attempt->id);
        handle(attempt->host, gateway_event::attempt_ended{attempt->id, result});
    });
}

} // namespace skylarkseam::testing
