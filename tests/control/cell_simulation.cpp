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

void clear_handover_waits(std::optional<cell_record>& record) {
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

time_point cell_simulation::local_time(const node& it) const {
    const auto us = now_.time_since_epoch().count();
    return time_point(microseconds(us + us * it.clock_rate_ppm / 1'000'000 + it.clock_offset_us));
}

void cell_simulation::start(std::size_t it) {
    auto& one = nodes[it];
    ++one.process_id;
    ++one.self.incarnation;
    one.alive = true;
    platform.hosts.insert(one.self.node);
    one.has_left = false;
    one.paused_until = {};
    one.granted_authority = {};
    one.serving.clear();
    one.stopped.clear();
    one.last_work_end.clear();
    one.deferred_tasks.clear();
    one.control = std::make_unique<cell>(cell_settings{"cell0", {}, one.self, options_.timing, random(), {}});
    handle(it, cell_event::configuration_changed{config_});
    schedule(now_ + work_interval, [this, it, process_id = one.process_id] {
        if (nodes[it].process_id == process_id) {
            dispatch_work(it);
        }
    });
    schedule_wakeup(it);
}

void cell_simulation::replace(std::size_t it) {
    platform.hosts.erase(nodes[it].self.node);
    nodes[it].self.node += "x";
    start(it);
}

void cell_simulation::list_hosts(std::size_t from) {
    ++platform.reads;
    schedule(now_ + platform.latency, [this, from, process_id = nodes[from].process_id] {
        if (platform.down || platform.throttled || nodes[from].platform_cut) {
            return;
        }
        deliver(from, process_id,
                [this, from, hosts = platform.hosts] { handle(from, cell_event::hosts_listed{hosts}); });
    });
}

void cell_simulation::crash(std::size_t it) {
    nodes[it].alive = false;
    ++nodes[it].process_id;
}

void cell_simulation::pause(std::size_t it, duration span) {
    nodes[it].paused_until = now_ + span;
    schedule(nodes[it].paused_until, [this, it, process_id = nodes[it].process_id] {
        auto& one = nodes[it];
        if (one.process_id != process_id || now_ < one.paused_until) {
            return;
        }
        auto deferred_tasks = std::move(one.deferred_tasks);
        one.deferred_tasks.clear();
        for (auto& task : deferred_tasks) {
            task();
        }
    });
}

void cell_simulation::leave(std::size_t it) {
    deliver(it, nodes[it].process_id, [this, it] { handle(it, cell_event::leave_requested{}); });
}

void cell_simulation::change_searchers(std::size_t n) {
    searchers_ = n;
    config_ = make_configuration(n, options_.deadline);
    for (std::size_t it = 0; it < nodes.size(); ++it) {
        deliver(it, nodes[it].process_id,
                [this, it, config = config_] { handle(it, cell_event::configuration_changed{config}); });
    }
}

/// Runs a task in a node's process, or defers it to the end of the node's pause. Drops it if the process has
/// ended.
void cell_simulation::deliver(std::size_t to, std::uint64_t process_id, std::function<void()> task) {
    auto& one = nodes[to];
    if (!one.alive || one.process_id != process_id) {
        return;
    }
    if (now_ < one.paused_until) {
        one.deferred_tasks.push_back(std::move(task));
        return;
    }
    task();
}

void cell_simulation::handle(std::size_t it, cell_input event) {
    std::vector<cell_output> out;
    nodes[it].control->handle(std::move(event), local_time(nodes[it]), out);
    for (auto& action : out) {
        perform(it, action);
    }
}

void cell_simulation::schedule_wakeup(std::size_t it) {
    const auto wait =
        std::max(nodes[it].control->next_wakeup() - local_time(nodes[it]), duration(microseconds(100)));
    schedule(now_ + wait, [this, it, process_id = nodes[it].process_id] {
        deliver(it, process_id, [this, it] {
            ++wakeups;
            handle(it, cell_event::time_passed{});
            schedule_wakeup(it);
        });
    });
}

void cell_simulation::perform(std::size_t it, cell_output& action) {
    if (auto* read = std::get_if<cell_action::read_record>(&action)) {
        call_platform(it, read->call, std::nullopt);
    } else if (auto* write = std::get_if<cell_action::write_record>(&action)) {
        call_platform(it, write->call, *write);
    } else if (std::holds_alternative<cell_action::list_hosts>(action)) {
        list_hosts(it);
    } else if (auto* message = std::get_if<cell_action::send_message>(&action)) {
        send(it, *message);
    } else if (auto* owned = std::get_if<cell_action::serve>(&action)) {
        serve(it, *owned);
    } else if (auto* value = std::get_if<cell_action::authority_changed>(&action)) {
        nodes[it].granted_authority = value->value;
    } else if (std::holds_alternative<cell_action::left>(action)) {
        nodes[it].has_left = true;
    }
}

void cell_simulation::send(std::size_t from, const cell_action::send_message& action) {
    ++messages;
    const auto to = static_cast<std::size_t>(std::stoul(action.address));
    if (broken_links_.contains({from, to}) || random(percent) < message_loss_percent) {
        return;
    }
    const auto& self = nodes[from].self;
    cell_envelope message{"cell0", self.node, self.incarnation, self.peer_address, action.body};
    if (on_message) {
        on_message(message);
    }
    if (auto* renewed = std::get_if<cell_message::renewed>(&message.body);
        renewed != nullptr && options_.skip_handover_wait) {
        clear_handover_waits(renewed->record);
    }
    const auto delay = options_.network_latency + microseconds(random(1000));
    schedule(now_ + delay, [this, to, message = std::move(message)] {
        deliver(to, nodes[to].process_id,
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
        return {call, status, false, platform.stored_version, platform.record};
    }
    if (write->version != platform.stored_version) {
        return {call, platform_status::conflict, false, 0, {}};
    }
    platform.version += 1 + random(3);
    platform.stored_version = platform.version;
    platform.record = write->record;
    if (options_.skip_handover_wait) {
        clear_handover_waits(platform.record);
    }
    platform.epochs.push_back(write->record.owners.epoch);
    const bool lost = random(percent) < static_cast<std::uint32_t>(platform.lose_answers_percent);
    const auto status = lost ? platform_status::unavailable : platform_status::ok;
    return {call, status, false, platform.stored_version, platform.record};
}

void cell_simulation::call_platform(std::size_t from, platform_call_id call,
                                    std::optional<cell_action::write_record> write) {
    ++(write ? platform.writes : platform.reads);
    if (write && on_write) {
        on_write(write->record);
    }
    const auto process_id = nodes[from].process_id;
    const auto one_way_latency = platform.latency / 2 + microseconds(random(500));
    schedule(
        now_ + one_way_latency, [this, from, call, process_id, one_way_latency, write = std::move(write)] {
            const bool reached = !platform.down && !nodes[from].platform_cut;
            const auto answer =
                reached ? apply(call, write)
                        : cell_event::platform_answered{call, platform_status::unavailable, false, 0, {}};
            schedule(now_ + one_way_latency, [this, from, process_id, answer] {
                deliver(from, process_id, [this, from, answer] { handle(from, answer); });
            });
        });
}

void cell_simulation::serve(std::size_t it, const cell_action::serve& action) {
    auto& one = nodes[it];
    one.serving = {action.searchers.begin(), action.searchers.end()};
    for (const auto& name : action.stopped) {
        one.stopped[name] = one.last_work_end[name];
    }
    for (const auto& name : action.searchers) {
        one.stopped.erase(name);
    }
}

/// Dispatches work as an owner does: compares its authority with its own clock immediately before each
/// dispatch.
void cell_simulation::dispatch_work(std::size_t it) {
    auto& one = nodes[it];
    if (now_ >= one.paused_until) {
        const auto clock = local_time(one);
        for (const auto& name : one.serving) {
            if (clock < one.granted_authority.warm_until && random(4) == 0) {
                check_dispatch(it, name);
            }
        }
        report_drained(it);
    }
    schedule(std::max(now_ + work_interval, one.paused_until), [this, it, process_id = one.process_id] {
        if (nodes[it].process_id == process_id) {
            dispatch_work(it);
        }
    });
}

void cell_simulation::check_dispatch(std::size_t it, const std::string& searcher) {
    ++dispatches;
    const auto report_violation = [&](const std::string& what, std::size_t other) {
        violations.push_back(what + ": " + nodes[it].self.node + " beside " + nodes[other].self.node +
                             " at " + searcher + ", " + std::to_string(to_ms(now_.time_since_epoch())) +
                             " ms");
    };
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        const auto& one = nodes[other];
        if (other != it && one.alive && one.serving.contains(searcher) &&
            local_time(one) < one.granted_authority.warm_until) {
            report_violation("authority of two nodes", other);
        }
    }
    auto& running = running_[searcher];
    std::erase_if(running, [&](const running_work& one) { return one.end <= now_; });
    for (const auto& one : running) {
        if (one.node != it) {
            report_violation("work of two nodes", one.node);
        }
    }
    const auto end = now_ + options_.deadline * random(percent + 1) / percent;
    running.push_back({it, end});
    nodes[it].last_work_end[searcher] = std::max(nodes[it].last_work_end[searcher], end);
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
        if (it.alive && now_ >= it.paused_until && local_time(it) < it.granted_authority.full_until) {
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
