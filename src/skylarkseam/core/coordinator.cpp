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

    run_services services;
    std::shared_ptr<const configuration> config = std::make_shared<configuration>();
    std::shared_ptr<const ownership> owners = std::make_shared<ownership>();
    std::map<std::string, std::string, std::less<>> group_of; ///< by searcher name
    std::vector<std::weak_ptr<group_state>> retired;          ///< replaced, but queries may still run on them
    std::unordered_map<query_id, run> runs;
    std::vector<query_id> waiting; ///< runs that want to know more of their group
    std::map<std::pair<std::string, std::string>, std::uint32_t> in_flight; ///< by group and caller
    timer_heap<query_id> timers;

    impl(std::string self, std::uint64_t seed)
        : services(std::move(self), seed) {}

    void rebuild_groups();
    void refresh(group_state& group);
    std::optional<error> refusal(const query_request& request) const;
    std::uint32_t limit_of(const std::string& group, const std::string& caller) const;

    void on(coordinator_event::query_arrived& event, run_context& context);
    void on(coordinator_event::caller_left& event, run_context& context);
    void on(coordinator_event::reply_arrived& event, run_context& context);
    void on(coordinator_event::batch_failed& event, run_context& context);
    void on(coordinator_event::status_arrived& event, run_context& context);
    void on(coordinator_event::time_passed& event, run_context& context);

    template <typename Action>
    void with_run(query_id id, run_context& context, Action&& action);
    void after(query_id id, run& it);
};

void coordinator::impl::rebuild_groups() {
    std::map<std::string, std::shared_ptr<group_state>, std::less<>> next;
    group_of.clear();
    for (const auto& [name, group] : config->groups) {
        for (const auto& it : group.searchers) {
            group_of[it.name] = name;
        }
        auto map = make_shard_map(group);
        const auto old = services.groups.find(name);
        const bool known = old != services.groups.end();
        if (known && same_layout(old->second->map(), *map)) {
            next[name] = old->second;
            continue;
        }
        auto load = known ? old->second->shared_load() : std::make_shared<group_load>();
        auto state = std::make_shared<group_state>(name, std::move(map), std::move(load));
        if (known) {
            state->inherit(*old->second);
        }
        next[name] = std::move(state);
    }
    for (const auto& [name, old] : services.groups) {
        const auto at = next.find(name);
        if (at == next.end() || at->second != old) {
            retired.push_back(old);
        }
    }
    services.groups = std::move(next);
}

void coordinator::impl::refresh(group_state& group) {
    group.set_taken_in(*config);
    group.set_owners(*owners, services.owners);
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
    const auto group = services.groups.find(service->second.group);
    if (group == services.groups.end() || group->second->map().shards.empty()) {
        return make_error(error_kind::no_owner, "the service's group has no searchers");
    }
    const auto limit = limit_of(service->second.group, request.caller);
    const auto now = in_flight.find({service->second.group, request.caller});
    if (limit != 0 && now != in_flight.end() && now->second >= limit) {
        return make_error(error_kind::caller_over_limit, "the caller has too many queries in flight");
    }
    return std::nullopt;
}

std::uint32_t coordinator::impl::limit_of(const std::string& group, const std::string& caller) const {
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
    ++services.counters.queries;
    auto& request = event.request;
    if (auto reason = refusal(request)) {
        ++services.counters.refused;
        context.out.emplace_back(coordinator_action::answer_query{event.id, refused(std::move(*reason))});
        return;
    }
    const auto& settings = config->services.find(request.service)->second;
    const auto& group = services.groups.find(settings.group)->second;
    ++in_flight[{settings.group, request.caller}];
    const auto add = [&](auto&& it) { runs.try_emplace(event.id, std::forward<decltype(it)>(it)); };
    if (settings.idempotent) {
        add(query_run(event.id, std::move(request), settings, group, context.now));
    } else {
        add(effect_run(event.id, std::move(request), settings, group, context.now));
    }
    with_run(event.id, context, [&](auto& it) { it.start(context); });
}

void coordinator::impl::on(coordinator_event::caller_left& event, run_context& context) {
    with_run(event.id, context, [&](auto& it) { it.on_caller_left(context); });
}

void coordinator::impl::on(coordinator_event::reply_arrived& event, run_context& context) {
    const auto owner = services.owners.find(event.owner);
    const bool known = owner != owner_table::none && runs.contains(event.reply.query);
    if (!known) {
        services.counters.replies_dropped += event.reply.outcome == subquery_outcome::cancelled ? 0 : 1;
        return;
    }
    services.owners.mark_reachable(owner);
    with_run(event.reply.query, context, [&](auto& it) { it.on_reply(owner, event.reply, context); });
}

void coordinator::impl::on(coordinator_event::batch_failed& event, run_context& context) {
    const auto owner = services.owners.find(event.owner);
    if (owner == owner_table::none) {
        return;
    }
    services.owners.mark_unreachable(owner, context.now);
    with_run(event.id, context, [&](auto& it) { it.on_batch_failed(owner, event, context); });
}

void coordinator::impl::on(coordinator_event::status_arrived& event, run_context& context) {
    for (const auto& it : event.searchers) {
        const auto group = group_of.find(it.searcher);
        if (group != group_of.end()) {
            services.groups.find(group->second)->second->learn_status(it, context.now);
        }
    }
    const auto ids = std::move(waiting);
    waiting.clear();
    for (const auto id : ids) {
        with_run(id, context, [&](auto& it) {
            if (it.wants_knowledge()) {
                it.on_knowledge(context);
            }
        });
    }
}

void coordinator::impl::on(coordinator_event::time_passed& /*event*/, run_context& context) {
    while (const auto id = timers.pop_due(context.now)) {
        with_run(*id, context, [&](auto& it) {
            it.scheduled.reset();
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
    services.batches.flush(context.out);
    after(id, at->second);
}

/// Ends a run that is done, or sees to its next timer.
void coordinator::impl::after(query_id id, run& it) {
    std::visit(
        [&](auto& state) {
            if (state.done()) {
                const auto key = std::make_pair(state.group_name(), state.caller());
                if (--in_flight[key] == 0) {
                    in_flight.erase(key);
                }
                return;
            }
            if (!state.scheduled || state.next_check() < *state.scheduled) {
                state.scheduled = state.next_check();
                timers.add(state.next_check(), id);
            }
            if (state.wants_knowledge() && std::find(waiting.begin(), waiting.end(), id) == waiting.end()) {
                waiting.push_back(id);
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
    for (auto& [name, group] : impl_->services.groups) {
        impl_->refresh(*group);
    }
    std::erase_if(impl_->retired, [](const auto& it) { return it.expired(); });
    for (const auto& it : impl_->retired) {
        impl_->refresh(*it.lock());
    }
}

void coordinator::set_ownership(std::shared_ptr<const ownership> owners, time_point /*now*/) {
    impl_->owners = std::move(owners);
    for (auto& [name, group] : impl_->services.groups) {
        group->set_owners(*impl_->owners, impl_->services.owners);
    }
    for (const auto& it : impl_->retired) {
        if (const auto group = it.lock()) {
            group->set_owners(*impl_->owners, impl_->services.owners);
        }
    }
}

void coordinator::handle(coordinator_input event, time_point now, std::vector<coordinator_output>& out) {
    run_context context{impl_->services, now, out};
    std::visit([&](auto& it) { impl_->on(it, context); }, event);
}

std::optional<time_point> coordinator::next_wakeup() const {
    return impl_->timers.next();
}

std::size_t coordinator::open_queries() const {
    return impl_->runs.size();
}

const coordinator_counters& coordinator::counters() const {
    return impl_->services.counters;
}

} // namespace skylarkseam
