#include "standin/searcher_model.hpp"

#include <skylarkseam/core/name_table.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace skylarkseam::standin {
namespace {

constexpr std::size_t most_records = 200'000;

/// Work that was on its way when the searcher first showed that it is cold is no violation by the sender.
constexpr duration sign_grace = milliseconds(100);

constexpr name_table state_names{std::array{
    named_value<searcher_state>{searcher_state::cold, "cold"},
    named_value<searcher_state>{searcher_state::warm, "warm"},
    named_value<searcher_state>{searcher_state::draining, "draining"},
}};

} // namespace

std::string_view name_of(searcher_state state) {
    return state_names.name_of(state);
}

std::optional<searcher_state> find_searcher_state(std::string_view name) {
    return state_names.find(name);
}

searcher_model::searcher_model(searcher_options options, time_point /*now*/)
    : options_(std::move(options))
    , random_(options_.seed) {
    set_shards(options_.shards);
}

std::string searcher_model::boot_id() const {
    return options_.name + "-" + std::to_string(boots_);
}

std::uint32_t searcher_model::bears(time_point now) const {
    if (!cold_since_) {
        return options_.slots;
    }
    const auto steps = static_cast<std::uint64_t>((now - *cold_since_) / options_.cold.interval);
    const auto rise = std::min<std::uint64_t>(steps * options_.cold.step, options_.slots);
    return std::min(options_.slots, options_.cold.slots + static_cast<std::uint32_t>(rise));
}

searcher_state searcher_model::state(time_point now) const {
    if (draining_) {
        return searcher_state::draining;
    }
    return bears(now) < options_.slots ? searcher_state::cold : searcher_state::warm;
}

std::optional<search_outcome> searcher_model::refusal(const search_arrival& it, time_point now) {
    if (killed_) {
        return search_outcome::cut;
    }
    const auto shard = held_.find(it.shard);
    if (shard == held_.end()) {
        return search_outcome::shard_not_held;
    }
    if (!shard->second.contains(it.snapshot)) {
        return search_outcome::snapshot_not_held;
    }
    if (draining_) {
        ++counters_.arrivals_while_out;
        return search_outcome::shed;
    }
    if (overloads_cold(now) || queued() >= options_.queue) {
        return search_outcome::shed;
    }
    return std::nullopt;
}

/// Too much work in a cold start is shed, and the cold start begins again.
bool searcher_model::overloads_cold(time_point now) {
    const auto limit = bears(now);
    if (limit == options_.slots || in_flight() + queued() < limit) {
        return false;
    }
    ++counters_.cold_violations;
    if (cold_signalled_at_ && now > *cold_signalled_at_ + sign_grace) {
        ++counters_.cold_violations_after_sign;
    }
    cold_since_ = now;
    return true;
}

void searcher_model::arrive(search_arrival it, time_point now, std::vector<search_completion>& out) {
    advance(now, out);
    ++counters_.arrived;
    if (const auto refused = refusal(it, now)) {
        counters_.shed += *refused == search_outcome::shed ? 1 : 0;
        out.push_back({it.ticket, *refused});
        return;
    }
    if (in_flight() < bears(now)) {
        start(it, now);
    } else {
        waiting_.push_back({std::move(it), now});
    }
    counters_.peak_in_flight = std::max(counters_.peak_in_flight, in_flight() + queued());
}

duration searcher_model::draw_time(bool first_on_connection, time_point now) {
    const auto& time = options_.time;
    std::uniform_real_distribution<double> jitter(1.0 - time.jitter, 1.0 + time.jitter);
    double factor = time.factor * jitter(random_);
    if (std::bernoulli_distribution(time.straggler_probability)(random_)) {
        factor *= time.straggler_factor;
        ++counters_.stragglers;
    }
    if (bears(now) < options_.slots) {
        factor *= time.cold_factor;
    }
    const auto base_us = static_cast<double>(time.base.count());
    const duration spent{static_cast<duration::rep>(base_us * factor)};
    return spent + (first_on_connection ? time.open_cost : duration(0));
}

void searcher_model::start(const search_arrival& it, time_point now) {
    ++counters_.started;
    running_.emplace(now + draw_time(it.first_on_connection, now), running{it.ticket, it.request_id});
    if (!it.key.empty()) {
        ++runs_by_key_[it.key];
    }
    if (runs_.size() < most_records) {
        runs_.push_back({it.request_id, it.shard, it.snapshot, it.key, now, in_flight(), bears(now)});
    }
}

void searcher_model::start_waiting(time_point now, std::vector<search_completion>& out) {
    while (!waiting_.empty() && in_flight() < bears(now)) {
        const auto next = std::move(waiting_.front());
        waiting_.erase(waiting_.begin());
        const auto& deadline = next.arrival.remaining;
        if (deadline && now >= next.arrived + *deadline) {
            ++counters_.shed;
            out.push_back({next.arrival.ticket, search_outcome::shed});
            continue;
        }
        start(next.arrival, now);
    }
}

void searcher_model::advance(time_point now, std::vector<search_completion>& out) {
    while (!running_.empty() && running_.begin()->first <= now) {
        const auto ended_at = running_.begin()->first;
        out.push_back({running_.begin()->second.ticket, search_outcome::done});
        ++counters_.finished;
        running_.erase(running_.begin());
        start_waiting(ended_at, out);
    }
    start_waiting(now, out);
}

std::optional<time_point> searcher_model::next_wakeup() const {
    if (running_.empty()) {
        return std::nullopt;
    }
    return running_.begin()->first;
}

void searcher_model::cancel(const std::string& request_id, time_point now,
                            std::vector<search_completion>& out) {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->arrival.request_id != request_id) {
            ++it;
            continue;
        }
        ++counters_.cancelled_queued;
        out.push_back({it->arrival.ticket, search_outcome::cancelled});
        it = waiting_.erase(it);
    }
    for (auto it = running_.begin(); it != running_.end();) {
        if (it->second.request_id != request_id) {
            ++it;
            continue;
        }
        ++counters_.cancelled_running;
        out.push_back({it->second.ticket, search_outcome::cancelled});
        it = running_.erase(it);
    }
    advance(now, out);
}

void searcher_model::turn_cold(time_point now) {
    cold_since_ = now;
    cold_signalled_at_.reset();
}

void searcher_model::set_state(searcher_state state, time_point now) {
    draining_ = state == searcher_state::draining;
    if (state == searcher_state::cold) {
        turn_cold(now);
    } else if (state == searcher_state::warm) {
        cold_since_.reset();
    }
}

void searcher_model::cut_all(std::vector<search_completion>& out) {
    for (const auto& it : waiting_) {
        out.push_back({it.arrival.ticket, search_outcome::cut});
    }
    for (const auto& [unused, it] : running_) {
        out.push_back({it.ticket, search_outcome::cut});
    }
    counters_.cut += in_flight() + queued();
    waiting_.clear();
    running_.clear();
}

void searcher_model::restart(time_point now, std::vector<search_completion>& out) {
    cut_all(out);
    ++boots_;
    draining_ = false;
    turn_cold(now);
}

void searcher_model::set_killed(bool killed, time_point now, std::vector<search_completion>& out) {
    if (killed_ != killed) {
        restart(now, out);
    }
    killed_ = killed;
}

void searcher_model::add_snapshot(std::optional<shard_id> shard, snapshot_id snapshot) {
    for (auto& [id, snapshots] : held_) {
        if (!shard || *shard == id) {
            snapshots.insert(snapshot);
        }
    }
    if (!shard) {
        options_.snapshots.insert(snapshot);
    }
}

void searcher_model::retire_snapshot(std::optional<shard_id> shard, snapshot_id snapshot) {
    for (auto& [id, snapshots] : held_) {
        if (!shard || *shard == id) {
            snapshots.erase(snapshot);
        }
    }
    if (!shard) {
        options_.snapshots.erase(snapshot);
    }
}

void searcher_model::set_shards(const std::vector<shard_id>& shards) {
    std::map<shard_id, std::set<snapshot_id>> held;
    for (const auto it : shards) {
        const auto before = held_.find(it);
        held[it] = before == held_.end() ? options_.snapshots : before->second;
    }
    held_ = std::move(held);
    options_.shards = shards;
}

void searcher_model::note_sign(time_point now) {
    if (cold_since_ && !cold_signalled_at_) {
        cold_signalled_at_ = now;
    }
}

} // namespace skylarkseam::standin
