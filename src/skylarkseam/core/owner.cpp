#include <skylarkseam/core/dispatcher.hpp>
#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/core/owner.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr duration health_poll_timeout = seconds(2); ///< Time after which an unanswered poll is repeated.

constexpr name_table upstream_state_names{std::array{
    named_value<upstream_state>{upstream_state::cold, "cold"},
    named_value<upstream_state>{upstream_state::warm, "warm"},
    named_value<upstream_state>{upstream_state::draining, "draining"},
}};

void update_earliest(std::optional<time_point>& earliest, time_point other) {
    earliest = earliest ? std::min(*earliest, other) : other;
}

} // namespace

std::string_view name_of(upstream_state state) {
    return upstream_state_names.name_of(state);
}

std::optional<upstream_state> find_upstream_state(std::string_view name) {
    return upstream_state_names.find(name);
}

struct owner::impl {
    using output = std::vector<owner_output>;

    std::string self;
    owner_options options;
    std::shared_ptr<const configuration> config = std::make_shared<configuration>();
    /// Includes searchers that this node no longer owns.
    std::map<std::string, std::unique_ptr<owned_searcher>, std::less<>> searchers;
    dispatcher subqueries;
    timer_heap<owned_searcher*> polls;
    /// Time of the last change of settings, until all queues have been rechecked.
    std::optional<time_point> queues_recheck_at;

    [[nodiscard]] owned_searcher* find(std::string_view name) const {
        const auto at = searchers.find(name);
        return at == searchers.end() ? nullptr : at->second.get();
    }

    void configure(owned_searcher& it, time_point now) const;
    [[nodiscard]] const sharing_rule* rule_of(const std::string& group) const;
    void take_over(const std::string& name, bool handed_over, time_point now);
    void poll(owned_searcher& it, time_point now, output& out);
    void recheck_queues(time_point now, output& out);
    [[nodiscard]] std::optional<time_point> next_authority_expiry() const;

    void on(owner_event::batch_arrived& event, time_point now, output& out);
    void on(owner_event::cancel_arrived& event, time_point now, output& out);
    void on(owner_event::stream_closed& event, time_point now, output& out);
    void on(owner_event::upstream_answered& event, time_point now, output& out);
    void on(owner_event::health_arrived& event, time_point now, output& out);
    void on(owner_event::time_passed& event, time_point now, output& out);
};

void owner::impl::configure(owned_searcher& it, time_point now) const {
    const auto is_this = [&](const searcher& settings) { return settings.name == it.name(); };
    for (const auto& entry : config->groups) {
        const auto& group = entry.second;
        const auto settings = std::find_if(group.searchers.begin(), group.searchers.end(), is_this);
        if (settings != group.searchers.end()) {
            it.configure(&group, &*settings, rule_of(group.name), takes_new_work(*config, *settings), now);
            return;
        }
    }
    it.configure(nullptr, nullptr, nullptr, false, now);
}

const sharing_rule* owner::impl::rule_of(const std::string& group) const {
    const auto at = std::find_if(config->rules.begin(), config->rules.end(),
                                 [&](const auto& entry) { return entry.second.group == group; });
    return at == config->rules.end() ? nullptr : &at->second;
}

void owner::impl::take_over(const std::string& name, bool handed_over, time_point now) {
    auto& it = searchers[name];
    if (!it) {
        it = std::make_unique<owned_searcher>(name, now);
        configure(*it, now);
    }
    if (!it->owned()) {
        it->take_over(handed_over, now);
        polls.add(now, it.get());
    }
}

void owner::impl::poll(owned_searcher& it, time_point now, output& out) {
    if (!it.owned() || now < it.next_poll_at) {
        return;
    }
    const bool waiting = it.poll_in_flight && now < it.poll_sent_at + health_poll_timeout;
    if (!waiting && !it.address().empty()) {
        it.poll_in_flight = true;
        it.poll_sent_at = now;
        out.emplace_back(owner_action::poll_health{it.name(), it.address()});
    }
    it.next_poll_at = now + options.health_poll;
    polls.add(it.next_poll_at, &it);
}

void owner::impl::recheck_queues(time_point now, output& out) {
    queues_recheck_at.reset();
    for (auto& [name, it] : searchers) {
        subqueries.dispatch_queued(*it, now, out);
    }
}

/// Returns the earliest end of authority that affects a searcher with queued subqueries.
std::optional<time_point> owner::impl::next_authority_expiry() const {
    std::optional<time_point> end;
    for (const auto& [name, it] : searchers) {
        if (it->queue.queued() > 0) {
            const auto& granted = subqueries.granted_authority();
            update_earliest(end, it->is_cold() ? granted.full_until
                                               : std::max(granted.full_until, granted.warm_until));
        }
    }
    return end;
}

void owner::impl::on(owner_event::batch_arrived& event, time_point now, output& out) {
    subqueries.on_batch(
        event.stream, std::move(event.batch), [this](const std::string& name) { return find(name); }, now,
        out);
}

void owner::impl::on(owner_event::cancel_arrived& event, time_point now, output& out) {
    subqueries.on_cancel(event.stream, event.cancel, now, out);
}

void owner::impl::on(owner_event::stream_closed& event, time_point now, output& out) {
    subqueries.on_closed(event.stream, now, out);
}

void owner::impl::on(owner_event::upstream_answered& event, time_point now, output& out) {
    subqueries.on_answer(event.id, event.answer, now, out);
}

void owner::impl::on(owner_event::health_arrived& event, time_point now, output& out) {
    auto* it = find(event.searcher);
    if (it != nullptr && it->owned()) {
        it->on_health(event.health, now);
        subqueries.dispatch_queued(*it, now, out);
    }
}

void owner::impl::on(owner_event::time_passed& /*event*/, time_point now, output& out) {
    subqueries.on_time(now, out);
    while (auto it = polls.pop_due(now)) {
        poll(**it, now, out);
    }
    const auto end = next_authority_expiry();
    if (queues_recheck_at || (end && now >= *end)) {
        recheck_queues(now, out);
    }
}

owner::owner(std::string self, owner_options options)
    : impl_(std::make_unique<impl>()) {
    impl_->self = std::move(self);
    impl_->options = options;
    impl_->subqueries.set_queue_length(options.queue_length);
}

owner::~owner() = default;

void owner::set_configuration(std::shared_ptr<const configuration> config, time_point now) {
    impl_->config = std::move(config);
    for (auto& [name, it] : impl_->searchers) {
        impl_->configure(*it, now);
    }
    impl_->queues_recheck_at = now;
}

void owner::set_owned(const std::vector<std::string>& searchers, bool handed_over, time_point now,
                      std::vector<owner_output>& out) {
    for (auto& [name, it] : impl_->searchers) {
        if (std::find(searchers.begin(), searchers.end(), name) == searchers.end()) {
            it->release_ownership();
        }
    }
    for (const auto& name : searchers) {
        impl_->take_over(name, handed_over, now);
    }
    impl_->recheck_queues(now, out);
    handle(owner_event::time_passed{}, now, out);
}

void owner::set_authority(authority value) {
    impl_->subqueries.set_authority(value);
}

void owner::handle(owner_input event, time_point now, std::vector<owner_output>& out) {
    std::visit([&](auto& it) { impl_->on(it, now, out); }, event);
}

bool owner::may_send(const std::string& searcher, time_point now) const {
    const auto* it = impl_->find(searcher);
    return it != nullptr && it->can_dispatch_ignoring_breaker(impl_->subqueries.granted_authority(), now);
}

std::optional<time_point> owner::next_wakeup() const {
    auto next = impl_->subqueries.next_wakeup();
    for (const auto& other :
         {impl_->polls.next(), impl_->queues_recheck_at, impl_->next_authority_expiry()}) {
        if (other) {
            update_earliest(next, *other);
        }
    }
    return next;
}

std::vector<searcher_status> owner::status(const std::string& group) const {
    std::vector<searcher_status> all;
    for (const auto& [name, it] : impl_->searchers) {
        if (it->owned() && it->group() == group) {
            all.push_back(it->status());
        }
    }
    return all;
}

std::vector<owned_searcher_view> owner::view() const {
    std::vector<owned_searcher_view> all;
    for (const auto& [name, it] : impl_->searchers) {
        if (it->owned()) {
            all.push_back(it->view());
        }
    }
    return all;
}

std::size_t owner::in_flight() const {
    std::size_t n = 0;
    for (const auto& [name, it] : impl_->searchers) {
        n += it->in_flight();
    }
    return n;
}

std::size_t owner::in_flight(const std::string& searcher) const {
    const auto* it = impl_->find(searcher);
    return it == nullptr ? 0 : it->in_flight();
}

const owner_counters& owner::counters() const {
    return impl_->subqueries.counters();
}

} // namespace skylarkseam
