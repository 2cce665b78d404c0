#include <skylarkseam/core/coordinator.hpp>
#include <skylarkseam/core/effect_run.hpp>
#include <skylarkseam/core/query_run.hpp>
#include <skylarkseam/core/timer_heap.hpp>

#include <algorithm>
#include <unordered_map>

namespace skylarkseam {
namespace {

using run = std::variant<query_run, effect_run>;

} // namespace

struct coordinator::impl {
    using output = std::vector<coordinator_output>;

    shared_run_state shared;
    std::shared_ptr<const configuration> config = std::make_shared<configuration>();
    std::shared_ptr<const ownership> owners = std::make_shared<ownership>();
    std::map<std::string, std::string, std::less<>> group_of; ///< Group names by searcher name.
    /// Replaced group states that open queries may still use.
    std::vector<std::weak_ptr<group_state>> superseded;
    std::unordered_map<query_id, run> runs;
    std::vector<query_id> awaiting_status; ///< Queries that wait for a status update of their group.
    /// Number of open queries by group and caller.
    std::map<std::pair<std::string, std::string>, std::uint32_t> in_flight;
    timer_heap<query_id> timers;

    impl(std::string self, std::uint64_t seed)
        : shared(std::move(self), seed) {}

    void rebuild_groups();
    void update_group(group_state& group);
    std::optional<error> refusal(const query_request& request) const;
    std::uint32_t in_flight_limit(const std::string& group, const std::string& caller) const;

    void on(coordinator_event::query_arrived& event, run_context& context);
    void on(coordinator_event::caller_disconnected& event, run_context& context);
    void on(coordinator_event::reply_arrived& event, run_context& context);
    void on(coordinator_event::batch_failed& event, run_context& context);
    void on(coordinator_event::status_arrived& event, run_context& context);
    void on(coordinator_event::time_passed& event, run_context& context);

    template <typename Action>
    void with_run(query_id id, run_context& context, Action&& action);
    void reschedule_or_erase(query_id id, run& it);
};

void coordinator::impl::rebuild_groups() {
    std::map<std::string, std::shared_ptr<group_state>, std::less<>> next;
    group_of.clear();
    for (const auto& [name, group] : config->groups) {
        for (const auto& it : group.searchers) {
            group_of[it.name] = name;
        }
        auto map = make_shard_map(group);
        const auto old = shared.groups.find(name);
        const bool existing = old != shared.groups.end();
        if (existing && same_layout(old->second->map(), *map)) {
            next[name] = old->second;
            continue;
        }
        auto load = existing ? old->second->shared_load() : std::make_shared<group_load>();
        auto state = std::make_shared<group_state>(name, std::move(map), std::move(load));
        if (existing) {
            state->inherit(*old->second);
        }
        next[name] = std::move(state);
    }
    for (const auto& [name, old] : shared.groups) {
        const auto at = next.find(name);
        if (at == next.end() || at->second != old) {
            superseded.push_back(old);
        }
    }
    shared.groups = std::move(next);
}

void coordinator::impl::update_group(group_state& group) {
    group.update_in_service(*config);
    group.set_owners(*owners, shared.owners);
}

std::optional<error> coordinator::impl::refusal(const query_request& request) const {
    if (config->generation == 0) {
        return make_error(error_kind::starting, "no configuration has been received yet");
    }
    const auto service = config->services.find(request.service);
    if (service == config->services.end()) {
        return make_error(error_kind::unknown_service, request.service);
    }
    if (!service->second.idempotent && request.idempotency_key.empty()) {
        return make_error(error_kind::bad_request, "the service asks for an idempotency key");
    }
    if (request.deadline && *request.deadline <= duration::zero()) {
        return make_error(error_kind::bad_request, "the deadline is not positive");
    }
    const auto group = shared.groups.find(service->second.group);
    if (group == shared.groups.end() || group->second->map().shards.empty()) {
        return make_error(error_kind::no_owner, "the service's group has no searchers");
    }
    const auto limit = in_flight_limit(service->second.group, request.caller);
    const auto current = in_flight.find({service->second.group, request.caller});
    if (limit != 0 && current != in_flight.end() && current->second >= limit) {
        return make_error(error_kind::caller_over_limit, "the caller has too many queries in flight");
    }
    return std::nullopt;
}

std::uint32_t coordinator::impl::in_flight_limit(const std::string& group, const std::string& caller) const {
    for (const auto& [name, rule] : config->rules) {
        if (rule.group != group) {
            continue;
        }
        for (const auto& share : rule.callers) {
            if (share.caller == caller) {
                return share.max_in_flight;
            }
        }
    }
    return 0;
}

void coordinator::impl::on(coordinator_event::query_arrived& event, run_context& context) {
    ++shared.counters.queries;
    auto& request = event.request;
    if (auto reason = refusal(request)) {
        ++shared.counters.refused;
        context.out.emplace_back(coordinator_action::answer_query{event.id, refused(std::move(*reason))});
        return;
    }
    const auto& settings = config->services.find(request.service)->second;
    const auto& group = shared.groups.find(settings.group)->second;
    ++in_flight[{settings.group, request.caller}];
    const auto add = [&](auto&& it) { runs.try_emplace(event.id, std::forward<decltype(it)>(it)); };
    if (settings.idempotent) {
        add(query_run(event.id, std::move(request), settings, group, context.now));
    } else {
        add(effect_run(event.id, std::move(request), settings, group, context.now));
    }
    with_run(event.id, context, [&](auto& it) { it.start(context); });
}

void coordinator::impl::on(coordinator_event::caller_disconnected& event, run_context& context) {
    with_run(event.id, context, [&](auto& it) { it.on_caller_disconnected(context); });
}

void coordinator::impl::on(coordinator_event::reply_arrived& event, run_context& context) {
    const auto owner = shared.owners.find(event.owner);
    const bool expected = owner != owner_table::none && runs.contains(event.reply.query);
    if (!expected) {
        shared.counters.replies_dropped += event.reply.outcome == subquery_outcome::cancelled ? 0 : 1;
        return;
    }
    shared.owners.mark_reachable(owner);
    with_run(event.reply.query, context, [&](auto& it) { it.on_reply(owner, event.reply, context); });
}

void coordinator::impl::on(coordinator_event::batch_failed& event, run_context& context) {
    const auto owner = shared.owners.find(event.owner);
    if (owner == owner_table::none) {
        return;
    }
    shared.owners.mark_unreachable(owner, context.now);
    with_run(event.id, context, [&](auto& it) { it.on_batch_failed(owner, event, context); });
}

void coordinator::impl::on(coordinator_event::status_arrived& event, run_context& context) {
    for (const auto& it : event.searchers) {
        const auto group = group_of.find(it.searcher);
        if (group != group_of.end()) {
            shared.groups.find(group->second)->second->apply_status(it, context.now);
        }
    }
    const auto ids = std::move(awaiting_status);
    awaiting_status.clear();
    for (const auto id : ids) {
        with_run(id, context, [&](auto& it) {
            if (it.waits_for_status()) {
                it.on_status_update(context);
            }
        });
    }
}

void coordinator::impl::on(coordinator_event::time_passed& /*event*/, run_context& context) {
    while (const auto id = timers.pop_due(context.now)) {
        with_run(*id, context, [&](auto& it) {
            it.pending_timer.reset();
            if (it.next_check() <= context.now) {
                it.on_time(context);
            }
        });
    }
}

template <typename Action>
void coordinator::impl::with_run(query_id id, run_context& context, Action&& action) {
    const auto at = runs.find(id);
    if (at == runs.end()) {
        return;
    }
    std::visit(std::forward<Action>(action), at->second);
    shared.batches.flush(context.out);
    reschedule_or_erase(id, at->second);
}

/// Removes a finished run, or schedules the next timer of an open one.
void coordinator::impl::reschedule_or_erase(query_id id, run& it) {
    std::visit(
        [&](auto& state) {
            if (state.done()) {
                const auto key = std::make_pair(state.group_name(), state.caller());
                if (--in_flight[key] == 0) {
                    in_flight.erase(key);
                }
                return;
            }
            if (!state.pending_timer || state.next_check() < *state.pending_timer) {
                state.pending_timer = state.next_check();
                timers.add(state.next_check(), id);
            }
            if (state.waits_for_status() &&
                std::find(awaiting_status.begin(), awaiting_status.end(), id) == awaiting_status.end()) {
                awaiting_status.push_back(id);
            }
        },
        it);
    if (std::visit([](const auto& state) { return state.done(); }, it)) {
        runs.erase(id);
    }
}

coordinator::coordinator(std::string self, std::uint64_t seed)
    : impl_(std::make_unique<impl>(std::move(self), seed)) {}

coordinator::~coordinator() = default;

void coordinator::set_configuration(std::shared_ptr<const configuration> config, time_point /*now*/) {
    impl_->config = std::move(config);
    impl_->rebuild_groups();
    for (auto& [name, group] : impl_->shared.groups) {
        impl_->update_group(*group);
    }
    std::erase_if(impl_->superseded, [](const auto& it) { return it.expired(); });
    for (const auto& it : impl_->superseded) {
        impl_->update_group(*it.lock());
    }
}

void coordinator::set_ownership(std::shared_ptr<const ownership> owners, time_point /*now*/) {
    impl_->owners = std::move(owners);
    for (auto& [name, group] : impl_->shared.groups) {
        group->set_owners(*impl_->owners, impl_->shared.owners);
    }
    for (const auto& it : impl_->superseded) {
        if (const auto group = it.lock()) {
            group->set_owners(*impl_->owners, impl_->shared.owners);
        }
    }
}

void coordinator::handle(coordinator_input event, time_point now, std::vector<coordinator_output>& out) {
    run_context context{impl_->shared, now, out};
    std::visit([&](auto& it) { impl_->on(it, context); }, event);
}

std::optional<time_point> coordinator::next_wakeup() const {
    return impl_->timers.next();
}

std::size_t coordinator::open_queries() const {
    return impl_->runs.size();
}

const coordinator_counters& coordinator::counters() const {
    return impl_->shared.counters;
}

} // namespace skylarkseam
