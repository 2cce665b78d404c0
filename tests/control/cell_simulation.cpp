#include "cell_simulation.hpp"

#include <algorithm>

namespace skylarkseam::simulation {
namespace {

constexpr duration work_interval = milliseconds(20);
constexpr duration sample_interval = milliseconds(50);
constexpr std::uint32_t percent = 100;

std::shared_ptr<const configuration> make_configuration(std::size_t searchers, duration deadline) {
    auto config = std::make_shared<configuration>();
    config->generation = 1;
    auto& group = config->groups["search"];
    group.name = "search";
    for (std::size_t it = 0; it < searchers; ++it) {
        group.searchers.push_back({"s" + std::to_string(it),
                                   "",
                                   "zone" + std::to_string(it % 3),
                                   {static_cast<shard_id>(it / 3 * 4)},
                                   service_state::in});
    }
    config->services["find"] = {"find", "search", deadline, 0.0, true, request_class::interactive, 5.0};
    return config;
}

void drop_waits(std::optional<cell_record>& record) {
    if (record) {
        for (auto& it : record->handovers) {
            it.wait = {};
        }
    }
}

} // namespace

cell_simulation::cell_simulation(cell_options options)
    : random(options.seed)
    , options_(options)
    , searchers_(options.searchers)
    , config_(make_configuration(options.searchers, options.deadline)) {
    nodes.resize(options_.nodes);
    for (std::size_t it = 0; it < nodes.size(); ++it) {
        const auto name = std::to_string(it);
        nodes[it].self = {"n" + name, 0, "zone" + std::to_string(it % 3), "region", name};
        nodes[it].clock_offset_us = random(1'000'000'000);
        nodes[it].clock_rate_ppm =
            static_cast<std::int64_t>(random(2 * options_.clock_skew_ppm + 1)) - options_.clock_skew_ppm;
        start(it);
    }
    at(sample_interval, [this] { sample(); });
}

void cell_simulation::schedule(time_point at, std::function<void()> task) {
    events_.push({at, ++order_, std::move(task)});
}

void cell_simulation::run_for(duration span) {
    const auto end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
        auto task = events_.top().task;
        now_ = events_.top().at;
        events_.pop();
        task();
    }
    now_ = end;
}

time_point cell_simulation::local(const node& it) const {
    const auto us = now_.time_since_epoch().count();
    return time_point(microseconds(us + us * it.clock_rate_ppm / 1'000'000 + it.clock_offset_us));
}

void cell_simulation::start(std::size_t it) {
    auto& one = nodes[it];
    ++one.life;
    ++one.self.incarnation;
    one.alive = true;
    one.has_left = false;
    one.paused_until = {};
    one.allowed = {};
    one.serving.clear();
    one.stopped.clear();
    one.last_end.clear();
    one.held.clear();
    one.control = std::make_unique<cell>(cell_settings{"cell0", {}, one.self, options_.timing, random(), {}});
    handle(it, cell_event::configuration_changed{config_});
    schedule(now_ + work_interval, [this, it, life = one.life] {
        if (nodes[it].life == life) {
            dispatch_work(it);
        }
    });
    wake(it);
}

void cell_simulation::crash(std::size_t it) {
    nodes[it].alive = false;
    ++nodes[it].life;
}

void cell_simulation::pause(std::size_t it, duration span) {
    nodes[it].paused_until = now_ + span;
    schedule(nodes[it].paused_until, [this, it, life = nodes[it].life] {
        auto& one = nodes[it];
        if (one.life != life || now_ < one.paused_until) {
            return;
        }
        auto held = std::move(one.held);
        one.held.clear();
        for (auto& task : held) {
            task();
        }
    });
}

void cell_simulation::leave(std::size_t it) {
    deliver(it, nodes[it].life, [this, it] { handle(it, cell_event::leave_requested{}); });
}

void cell_simulation::change_searchers(std::size_t n) {
    searchers_ = n;
    config_ = make_configuration(n, options_.deadline);
    for (std::size_t it = 0; it < nodes.size(); ++it) {
        deliver(it, nodes[it].life,
                [this, it, config = config_] { handle(it, cell_event::configuration_changed{config}); });
    }
}

/// Runs a task in a process, or once its pause is over; not at all if it has ended since.
void cell_simulation::deliver(std::size_t to, std::uint64_t life, std::function<void()> task) {
    auto& one = nodes[to];
    if (!one.alive || one.life != life) {
        return;
    }
    if (now_ < one.paused_until) {
        one.held.push_back(std::move(task));
        return;
    }
    task();
}

void cell_simulation::handle(std::size_t it, cell_input event) {
    std::vector<cell_output> out;
    nodes[it].control->handle(std::move(event), local(nodes[it]), out);
    for (auto& action : out) {
        act(it, action);
    }
}

void cell_simulation::wake(std::size_t it) {
    const auto wait =
        std::max(nodes[it].control->next_wakeup() - local(nodes[it]), duration(microseconds(100)));
    schedule(now_ + wait, [this, it, life = nodes[it].life] {
        deliver(it, life, [this, it] {
            ++wakeups;
            handle(it, cell_event::time_passed{});
            wake(it);
        });
    });
}

void cell_simulation::act(std::size_t it, cell_output& action) {
    if (auto* read = std::get_if<cell_action::read_record>(&action)) {
        call_platform(it, read->call, std::nullopt);
    } else if (auto* write = std::get_if<cell_action::write_record>(&action)) {
        call_platform(it, write->call, *write);
    } else if (auto* message = std::get_if<cell_action::send_message>(&action)) {
        send(it, *message);
    } else if (auto* owned = std::get_if<cell_action::serve>(&action)) {
        serve(it, *owned);
    } else if (auto* value = std::get_if<cell_action::authority_changed>(&action)) {
        nodes[it].allowed = value->value;
    } else if (std::holds_alternative<cell_action::left>(action)) {
        nodes[it].has_left = true;
    }
}

void cell_simulation::send(std::size_t from, const cell_action::send_message& action) {
    ++messages;
    const auto to = static_cast<std::size_t>(std::stoul(action.address));
    if (cut_.contains({from, to}) || random(percent) < message_loss_percent) {
        return;
    }
    const auto& self = nodes[from].self;
    cell_envelope message{"cell0", self.node, self.incarnation, self.peer_address, action.body};
    if (auto* renewed = std::get_if<cell_message::renewed>(&message.body);
        renewed != nullptr && options_.without_guard_wait) {
        drop_waits(renewed->record);
    }
    const auto delay = options_.network_latency + microseconds(random(1000));
    schedule(now_ + delay, [this, to, message = std::move(message)] {
        deliver(to, nodes[to].life,
                [this, to, message] { handle(to, cell_event::message_arrived{message}); });
    });
}

cell_event::platform_answered cell_simulation::apply(platform_call_id call,
                                                     const std::optional<cell_action::write_record>& write) {
    if (platform.throttled) {
        return {call, platform_status::throttled, false, 0, {}};
    }
    if (!write) {
        const auto status = platform.record ? platform_status::ok : platform_status::not_found;
        return {call, status, false, platform.record_version_now, platform.record};
    }
    if (write->version != platform.record_version_now) {
        return {call, platform_status::conflict, false, 0, {}};
    }
    platform.version += 1 + random(3);
    platform.record_version_now = platform.version;
    platform.record = write->record;
    if (options_.without_guard_wait) {
        drop_waits(platform.record);
    }
    platform.epochs.push_back(write->record.owners.epoch);
    const bool lost = random(percent) < static_cast<std::uint32_t>(platform.lose_answers_percent);
    const auto status = lost ? platform_status::unavailable : platform_status::ok;
    return {call, status, false, platform.record_version_now, platform.record};
}

void cell_simulation::call_platform(std::size_t from, platform_call_id call,
                                    std::optional<cell_action::write_record> write) {
    ++platform.calls;
    const auto life = nodes[from].life;
    const auto half = platform.latency / 2 + microseconds(random(500));
    schedule(now_ + half, [this, from, call, life, half, write = std::move(write)] {
        const bool reached = !platform.down && !nodes[from].platform_cut;
        const auto answer =
            reached ? apply(call, write)
                    : cell_event::platform_answered{call, platform_status::unavailable, false, 0, {}};
        schedule(now_ + half, [this, from, life, answer] {
            deliver(from, life, [this, from, answer] { handle(from, answer); });
        });
    });
}

void cell_simulation::serve(std::size_t it, const cell_action::serve& action) {
    auto& one = nodes[it];
    one.serving = {action.searchers.begin(), action.searchers.end()};
    for (const auto& name : action.stopped) {
        one.stopped[name] = one.last_end[name];
    }
    for (const auto& name : action.searchers) {
        one.stopped.erase(name);
    }
}

/// What an owner does: compares its authority with its own clock, and sends at once.
void cell_simulation::dispatch_work(std::size_t it) {
    auto& one = nodes[it];
    if (now_ >= one.paused_until) {
        const auto clock = local(one);
        for (const auto& name : one.serving) {
            if (clock < one.allowed.warm_until && random(4) == 0) {
                check_dispatch(it, name, clock < one.allowed.full_until);
            }
        }
        report_drained(it);
    }
    schedule(std::max(now_ + work_interval, one.paused_until), [this, it, life = one.life] {
        if (nodes[it].life == life) {
            dispatch_work(it);
        }
    });
}

void cell_simulation::check_dispatch(std::size_t it, const std::string& searcher, bool full) {
    ++dispatches;
    const auto complain = [&](const std::string& what, std::size_t other) {
        violations.push_back(what + ": " + nodes[it].self.node + " beside " + nodes[other].self.node +
                             " at " + searcher + ", " + std::to_string(to_ms(now_.time_since_epoch())) +
                             " ms");
    };
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        const auto& one = nodes[other];
        if (other != it && one.alive && one.serving.contains(searcher) &&
            local(one) < one.allowed.warm_until) {
            complain("authority of two nodes", other);
        }
    }
    auto& running = running_[searcher];
    std::erase_if(running, [&](const work& one) { return one.end <= now_; });
    for (const auto& one : running) {
        if (one.node != it) {
            complain("work of two nodes", one.node);
        }
    }
    const auto end = now_ + options_.deadline * random(percent + 1) / percent;
    running.push_back({it, end});
    nodes[it].last_end[searcher] = std::max(nodes[it].last_end[searcher], end);
    static_cast<void>(full);
}

void cell_simulation::report_drained(std::size_t it) {
    std::vector<std::string> drained;
    for (const auto& [name, end] : nodes[it].stopped) {
        if (end <= now_) {
            drained.push_back(name);
        }
    }
    for (const auto& name : drained) {
        nodes[it].stopped.erase(name);
        handle(it, cell_event::searcher_drained{name});
    }
}

std::size_t cell_simulation::served() const {
    std::set<std::string> names;
    for (const auto& it : nodes) {
        if (it.alive && now_ >= it.paused_until && local(it) < it.allowed.full_until) {
            names.insert(it.serving.begin(), it.serving.end());
        }
    }
    return names.size();
}

void cell_simulation::sample() {
    const auto n = served();
    served_samples += n;
    ++samples;
    if (n >= searchers_) {
        unserved_since_.reset();
    } else {
        unserved_since_ = unserved_since_.value_or(now_);
        unserved_longest = std::max(unserved_longest, now_ - *unserved_since_);
    }
    at(sample_interval, [this] { sample(); });
}

} // namespace skylarkseam::simulation
