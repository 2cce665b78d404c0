#include <skylarkseam/core/dispatcher.hpp>
#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/core/owner.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr duration health_poll_timeout = seconds(2); ///< a poll that was never answered is repeated

constexpr name_table upstream_state_names{std::array{
    named_value<upstream_state>{upstream_state::cold, "cold"},
    named_value<upstream_state>{upstream_state::warm, "warm"},
    named_value<upstream_state>{upstream_state::draining, "draining"},
}};

void keep_earlier(std::optional<time_point>& earliest, time_point other) {
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
    std::map<std::string, std::unique_ptr<owned_searcher>, std::less<>> searchers; ///< given-up ones too
    dispatcher work;
    timer_heap<owned_searcher*> polls;
    std::optional<time_point> queues_changed; ///< settings changed at that time; queues are to be looked at

    [[nodiscard]] owned_searcher* find(std::string_view name) const {
        const auto at = searchers.find(name);
        return at == searchers.end() ? nullptr : at->second.get();
    }

    void configure(owned_searcher& it, time_point now) const;
    [[nodiscard]] const sharing_rule* rule_of(const std::string& group) const;
    void take_over(const std::string& name, bool handed_over, time_point now);
    void poll(owned_searcher& it, time_point now, output& out);
    void check_queues(time_point now, output& out);
    [[nodiscard]] std::optional<time_point> authority_end() const;

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
    if (!it.owned() || now < it.next_poll) {
        return;
    }
    const bool waiting = it.poll_open && now < it.poll_sent + health_poll_timeout;
    if (!waiting && !it.address().empty()) {
        it.poll_open = true;
        it.poll_sent = now;
        out.emplace_back(owner_action::poll_health{it.name(), it.address()});
    }
    it.next_poll = now + options.health_poll;
    polls.add(it.next_poll, &it);
}

void owner::impl::check_queues(time_point now, output& out) {
    queues_changed.reset();
    for (auto& [name, it] : searchers) {
        work.pump(*it, now, out);
    }
}

/// When queued work is next to be looked at because authority ends.
std::optional<time_point> owner::impl::authority_end() const {
    std::optional<time_point> end;
    for (const auto& [name, it] : searchers) {
        if (it->queue.queued() > 0) {
            const auto& held = work.held();
            keep_earlier(end,
                         it->slots_are_cold() ? held.full_until : std::max(held.full_until, held.warm_until));
        }
    }
    return end;
}

void owner::impl::on(owner_event::batch_arrived& event, time_point now, output& out) {
    work.on_batch(
        event.stream, std::move(event.batch), [this](const std::string& name) { return find(name); }, now,
        out);
}

void owner::impl::on(owner_event::cancel_arrived& event, time_point now, output& out) {
    work.on_cancel(event.stream, event.cancel, now, out);
}

void owner::impl::on(owner_event::stream_closed& event, time_point now, output& out) {
    work.on_closed(event.stream, now, out);
}

void owner::impl::on(owner_event::upstream_answered& event, time_point now, output& out) {
    work.on_answer(event.id, event.answer, now, out);
}

void owner::impl::on(owner_event::health_arrived& event, time_point now, output& out) {
    auto* it = find(event.searcher);
    if (it != nullptr && it->owned()) {
        it->on_health(event.health, now);
        work.pump(*it, now, out);
    }
}

void owner::impl::on(owner_event::time_passed& /*event*/, time_point now, output& out) {
    work.on_time(now, out);
    while (auto it = polls.pop_due(now)) {
        poll(**it, now, out);
    }
    const auto end = authority_end();
    if (queues_changed || (end && now >= *end)) {
        check_queues(now, out);
    }
}

owner::owner(std::string self, owner_options options)
    : impl_(std::make_unique<impl>()) {
    impl_->self = std::move(self);
    impl_->options = options;
    impl_->work.set_queue_length(options.queue_length);
}

owner::~owner() = default;

void owner::set_configuration(std::shared_ptr<const configuration> config, time_point now) {
    impl_->config = std::move(config);
    for (auto& [name, it] : impl_->searchers) {
        impl_->configure(*it, now);
    }
    impl_->queues_changed = now;
}

void owner::set_owned(const std::vector<std::string>& searchers, bool handed_over, time_point now,
                      std::vector<owner_output>& out) {
    for (auto& [name, it] : impl_->searchers) {
        if (std::find(searchers.begin(), searchers.end(), name) == searchers.end()) {
            it->give_up();
        }
    }
    for (const auto& name : searchers) {
        impl_->take_over(name, handed_over, now);
    }
    impl_->check_queues(now, out);
    handle(owner_event::time_passed{}, now, out);
}

void owner::set_authority(authority value) {
    impl_->work.set_authority(value);
}

void owner::handle(owner_input event, time_point now, std::vector<owner_output>& out) {
    std::visit([&](auto& it) { impl_->on(it, now, out); }, event);
}

bool owner::may_send(const std::string& searcher, time_point now) const {
    const auto* it = impl_->find(searcher);
    return it != nullptr && it->permits(impl_->work.held(), now);
}

std::optional<time_point> owner::next_wakeup() const {
    auto next = impl_->work.next_wakeup();
    for (const auto& other : {impl_->polls.next(), impl_->queues_changed, impl_->authority_end()}) {
        if (other) {
            keep_earlier(next, *other);
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
    return impl_->work.counters();
}

} // namespace skylarkseam
