#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/core/owned_searcher.hpp>
#include <skylarkseam/core/owner.hpp>
#include <skylarkseam/core/request_id.hpp>
#include <skylarkseam/core/subquery_table.hpp>
#include <skylarkseam/core/timer_heap.hpp>

#include <algorithm>
#include <unordered_map>

namespace skylarkseam {
namespace {

constexpr duration health_interval = milliseconds(500);
constexpr duration health_poll_timeout = seconds(2);      ///< a poll that was never answered is repeated
constexpr duration slot_release_grace = milliseconds(20); ///< a searcher sees the deadline this much later
constexpr std::uint32_t queue_limit_per_caller = 256;     ///< at one searcher

constexpr name_table upstream_state_names{std::array{
    named_value<upstream_state>{upstream_state::cold, "cold"},
    named_value<upstream_state>{upstream_state::warm, "warm"},
    named_value<upstream_state>{upstream_state::draining, "draining"},
}};

/// What is due at a time.
struct due {
    enum class kind { poll, start_or_refuse, deadline, release_slot };
    kind what = kind::poll;
    owned_searcher* searcher = nullptr;
    subquery_table::id id = 0;
};

struct stream_state {
    std::shared_ptr<batch_header> header;
    std::vector<subquery_table::id> subqueries;
};

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
    std::shared_ptr<const configuration> config = std::make_shared<configuration>();
    authority held;
    std::map<std::string, std::unique_ptr<owned_searcher>, std::less<>> searchers;
    subquery_table table;
    std::unordered_map<stream_id, stream_state> streams;
    timer_heap<due> timers;
    std::uint64_t last_sequence = 0;
    std::optional<time_point> queues_changed; ///< settings changed at that time; queues are to be looked at

    owned_searcher* find(std::string_view name) {
        const auto at = searchers.find(name);
        return at == searchers.end() ? nullptr : at->second.get();
    }

    void configure(owned_searcher& it, time_point now);
    [[nodiscard]] const sharing_rule* rule_of(const std::string& group) const;
    void take_over(const std::string& name, bool handed_over, time_point now);

    void on(owner_event::batch_arrived& event, time_point now, output& out);
    void on(owner_event::cancel_arrived& event, time_point now, output& out);
    void on(owner_event::stream_closed& event, time_point now, output& out);
    void on(owner_event::upstream_answered& event, time_point now, output& out);
    void on(owner_event::health_arrived& event, time_point now, output& out);
    void on(owner_event::time_passed& event, time_point now, output& out);
    void poll(owned_searcher& it, time_point now, output& out);
    void on_due(const due& it, time_point now, output& out);

    void admit(const std::shared_ptr<batch_header>& header, const subquery& it, time_point now, output& out);
    std::string_view refusal(const owned_searcher* searcher, const batch_header& header,
                             time_point now) const;
    void watch_queued(subquery_table::id id);
    void withdraw(std::uint32_t n, time_point now, output& out);
    void pump(owned_searcher& it, time_point now, output& out);
    void dispatch(owned_searcher& it, const fair_queue::taken& next, time_point now, output& out);
    void refuse_queue(owned_searcher& it, std::string_view reason, time_point now, output& out);
    void check_queues(time_point now, output& out);
    void free_slot(std::uint32_t n, time_point now, output& out);
    void reply(std::uint32_t n, subquery_reply value, time_point now, output& out);
    void reply_end(std::uint32_t n, subquery_outcome outcome, std::string_view detail, time_point now,
                   output& out);
    void send(batch_header& header, subquery_reply value, output& out);
    bool can_meet_deadline(const owned_searcher& it, const batch_header& header, time_point now) const;
};

void owner::impl::configure(owned_searcher& it, time_point now) {
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
        timers.add(now, {due::kind::poll, it.get(), 0});
    }
}

void owner::impl::on(owner_event::batch_arrived& event, time_point now, output& out) {
    auto header = std::make_shared<batch_header>();
    auto subqueries = std::move(event.batch.subqueries);
    header->stream = event.stream;
    header->deadline = now + event.batch.remaining;
    header->batch = std::move(event.batch);
    header->unreplied = static_cast<std::uint32_t>(subqueries.size());
    header->malformed_effect = !header->batch.idempotency_key.empty() && subqueries.size() != 1;
    if (subqueries.empty()) {
        return;
    }
    auto& stream = streams[event.stream];
    stream.header = header;
    stream.subqueries.reserve(subqueries.size());
    for (const auto& it : subqueries) {
        admit(header, it, now, out);
    }
    const auto admitted = stream.subqueries;
    for (const auto id : admitted) {
        if (const auto n = table.find(id); n != subquery_table::none) {
            pump(*table.at(n).searcher, now, out);
        }
    }
    for (const auto id : admitted) {
        watch_queued(id);
    }
}

/// Sees to it that a subquery that had to queue is refused as soon as it cannot meet its deadline.
void owner::impl::watch_queued(subquery_table::id id) {
    const auto n = table.find(id);
    if (n == subquery_table::none || table.at(n).phase != subquery_phase::queued) {
        return;
    }
    auto& it = table.at(n);
    const auto latest_start = it.header->deadline - it.searcher->queue.mean_cost();
    timers.add(std::max(latest_start, it.queued_at), {due::kind::start_or_refuse, it.searcher, id});
}

void owner::impl::admit(const std::shared_ptr<batch_header>& header, const subquery& it, time_point now,
                        output& out) {
    auto* searcher = find(it.searcher);
    const auto reason = refusal(searcher, *header, now);
    if (!reason.empty()) {
        subquery_reply value;
        value.query = header->batch.query;
        value.attempt = it.attempt;
        value.shard = it.shard;
        value.outcome = subquery_outcome::not_run_refused;
        value.detail = reason;
        send(*header, std::move(value), out);
        return;
    }
    const auto n = table.add();
    auto& entry = table.at(n);
    entry.phase = subquery_phase::queued;
    entry.header = header;
    entry.shard = it.shard;
    entry.attempt = it.attempt;
    entry.searcher = searcher;
    entry.queued_at = now;
    streams[header->stream].subqueries.push_back(table.id_of(n));
    searcher->queue.push(header->batch.caller, header->batch.cls, n);
}

/// Why a new subquery is refused at once; empty if it is queued.
std::string_view owner::impl::refusal(const owned_searcher* searcher, const batch_header& header,
                                      time_point now) const {
    if (searcher == nullptr) {
        return "not owned by this node";
    }
    if (const auto reason = searcher->refusal(held, now); !reason.empty()) {
        return reason;
    }
    const auto& batch = header.batch;
    if (header.malformed_effect) {
        return "an effect has exactly one subquery";
    }
    if (searcher->queue.queued_of(batch.caller) >= queue_limit_per_caller) {
        return "the caller's queue is full";
    }
    const auto wait = searcher->queue.expected_wait(batch.caller, batch.cls, searcher->slots_now());
    if (!can_meet_deadline(*searcher, header, now + wait)) {
        return "would miss its deadline";
    }
    return {};
}

void owner::impl::on(owner_event::cancel_arrived& event, time_point now, output& out) {
    const auto at = streams.find(event.stream);
    if (at == streams.end()) {
        return;
    }
    const auto wanted = std::move(event.cancel.attempts);
    const auto open = at->second.subqueries;
    for (const auto id : open) {
        const auto n = table.find(id);
        if (n == subquery_table::none || table.at(n).replied) {
            continue;
        }
        if (wanted.empty() || std::find(wanted.begin(), wanted.end(), table.at(n).attempt) != wanted.end()) {
            withdraw(n, now, out);
        }
    }
}

void owner::impl::on(owner_event::stream_closed& event, time_point now, output& out) {
    const auto at = streams.find(event.stream);
    if (at == streams.end()) {
        return;
    }
    at->second.header->closed = true;
    const auto open = std::move(at->second.subqueries);
    for (const auto id : open) {
        if (const auto n = table.find(id); n != subquery_table::none && !table.at(n).replied) {
            withdraw(n, now, out);
        }
    }
    streams.erase(event.stream);
}

/// Ends a subquery that its coordinator no longer wants. A running effect is left to end.
void owner::impl::withdraw(std::uint32_t n, time_point now, output& out) {
    auto& it = table.at(n);
    if (it.phase == subquery_phase::queued) {
        const auto& batch = it.header->batch;
        it.searcher->queue.erase(batch.caller, batch.cls, n);
        reply_end(n, subquery_outcome::cancelled, "cancelled before dispatch", now, out);
        table.release(n);
        return;
    }
    if (!it.header->batch.idempotency_key.empty()) {
        return;
    }
    out.emplace_back(owner_action::cancel_dispatch{
        table.id_of(n), it.searcher->address(),
        request_id_of(it.header->batch.coordinator, it.header->batch.query, it.attempt)});
    reply_end(n, subquery_outcome::cancelled, "cancelled after dispatch", now, out);
}

void owner::impl::pump(owned_searcher& it, time_point now, output& out) {
    if (it.queue.queued() == 0) {
        return;
    }
    if (const auto reason = it.refusal(held, now); !reason.empty()) {
        refuse_queue(it, reason, now, out);
        return;
    }
    while (it.admits(held, now)) {
        const auto next = it.queue.pop(it.free_slots(), it.slots_now());
        if (!next) {
            return;
        }
        if (can_meet_deadline(it, *table.at(next->it).header, now)) {
            dispatch(it, *next, now, out);
            continue;
        }
        it.queue.finished(next->caller, next->charged, duration::zero());
        reply_end(next->it, subquery_outcome::not_run_refused, "would miss its deadline", now, out);
        table.release(next->it);
    }
}

bool owner::impl::can_meet_deadline(const owned_searcher& it, const batch_header& header,
                                    time_point now) const {
    // An idle searcher is tried whatever its past cost, so that the estimate can recover.
    const auto cost = it.in_flight() == 0 ? duration::zero() : it.queue.mean_cost();
    return now < header.deadline && now + cost <= header.deadline;
}

void owner::impl::dispatch(owned_searcher& it, const fair_queue::taken& next, time_point now, output& out) {
    auto& entry = table.at(next.it);
    const auto& batch = entry.header->batch;
    entry.phase = subquery_phase::running;
    entry.caller = next.caller;
    entry.charged = next.charged;
    entry.dispatched_at = now;
    entry.sequence = ++last_sequence;
    it.on_dispatch(now);
    const auto id = table.id_of(next.it);
    timers.add(entry.header->deadline, {due::kind::deadline, &it, id});
    owner_action::dispatch action;
    action.id = id;
    action.searcher = it.name();
    action.address = it.address();
    action.request_id = request_id_of(batch.coordinator, batch.query, entry.attempt);
    action.shard = entry.shard;
    action.snapshot = batch.snapshot;
    action.deadline = entry.header->deadline;
    action.query_json = batch.query_json;
    action.limit = batch.limit;
    action.idempotency_key = batch.idempotency_key;
    out.emplace_back(std::move(action));
}

void owner::impl::refuse_queue(owned_searcher& it, std::string_view reason, time_point now, output& out) {
    for (const auto n : it.queue.drain()) {
        reply_end(n, subquery_outcome::not_run_refused, reason, now, out);
        table.release(n);
    }
}

void owner::impl::check_queues(time_point now, output& out) {
    queues_changed.reset();
    for (auto& [name, it] : searchers) {
        pump(*it, now, out);
    }
}

void owner::impl::on(owner_event::upstream_answered& event, time_point now, output& out) {
    const auto n = table.find(event.id);
    if (n == subquery_table::none || table.at(n).phase != subquery_phase::running) {
        return;
    }
    auto& entry = table.at(n);
    auto& searcher = *entry.searcher;
    auto& answer = event.answer;
    const auto& batch = entry.header->batch;
    if (answer.outcome == subquery_outcome::answered &&
        (answer.request_id != request_id_of(batch.coordinator, batch.query, entry.attempt) ||
         answer.shard != entry.shard)) {
        answer.outcome = subquery_outcome::failed;
        answer.detail = "the answer belongs to another request";
        answer.completed = false;
    }
    searcher.on_answer(answer, entry.dispatched_at, now);
    if (answer.outcome == subquery_outcome::snapshot_not_held) {
        searcher.note_not_held(entry.shard, batch.snapshot);
    } else if (answer.outcome == subquery_outcome::shard_not_held) {
        searcher.note_not_held(entry.shard, 0);
    }
    const bool in_doubt =
        answer.outcome == subquery_outcome::failed && answer.bytes_sent && !answer.completed;
    if (!entry.replied) {
        subquery_reply value;
        value.outcome = answer.outcome;
        if (answer.outcome == subquery_outcome::failed && !answer.bytes_sent) {
            value.outcome = subquery_outcome::not_run_refused;
        }
        value.snapshot = answer.snapshot;
        value.detail = std::move(answer.detail);
        if (value.outcome == subquery_outcome::answered) {
            value.hits = std::move(answer.hits);
        }
        reply(n, std::move(value), now, out);
    }
    if (in_doubt && now < entry.header->deadline + slot_release_grace) {
        timers.add(entry.header->deadline + slot_release_grace,
                   {due::kind::release_slot, &searcher, event.id});
    } else {
        free_slot(n, now, out);
    }
    pump(searcher, now, out);
}

void owner::impl::free_slot(std::uint32_t n, time_point now, output& out) {
    auto& entry = table.at(n);
    auto& searcher = *entry.searcher;
    searcher.queue.finished(entry.caller, entry.charged, now - entry.dispatched_at);
    searcher.release_slot();
    table.release(n);
    pump(searcher, now, out);
}

void owner::impl::on(owner_event::health_arrived& event, time_point now, output& out) {
    auto* it = find(event.searcher);
    if (it == nullptr || !it->owned()) {
        return;
    }
    it->on_health(event.health, now);
    pump(*it, now, out);
}

void owner::impl::on(owner_event::time_passed& /*event*/, time_point now, output& out) {
    while (auto it = timers.pop_due(now)) {
        on_due(*it, now, out);
    }
    if (queues_changed || now >= held.full_until) {
        check_queues(now, out);
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
    it.next_poll = now + health_interval;
    timers.add(it.next_poll, {due::kind::poll, &it, 0});
}

void owner::impl::on_due(const due& it, time_point now, output& out) {
    if (it.what == due::kind::poll) {
        poll(*it.searcher, now, out);
        return;
    }
    const auto n = table.find(it.id);
    if (n == subquery_table::none) {
        return;
    }
    auto& entry = table.at(n);
    const bool queued = entry.phase == subquery_phase::queued;
    switch (it.what) {
    case due::kind::poll:
        break;
    case due::kind::start_or_refuse:
        if (queued) {
            const auto& batch = entry.header->batch;
            it.searcher->queue.erase(batch.caller, batch.cls, n);
            reply_end(n, subquery_outcome::not_run_refused, "would miss its deadline", now, out);
            table.release(n);
        }
        break;
    case due::kind::deadline:
        if (!queued) {
            if (!entry.replied) {
                reply_end(n, subquery_outcome::failed, "no answer by the deadline", now, out);
            }
            timers.add(now + slot_release_grace, {due::kind::release_slot, it.searcher, it.id});
        }
        break;
    case due::kind::release_slot:
        free_slot(n, now, out);
        break;
    }
}

void owner::impl::reply_end(std::uint32_t n, subquery_outcome outcome, std::string_view detail,
                            time_point now, output& out) {
    subquery_reply value;
    value.outcome = outcome;
    value.detail = detail;
    reply(n, std::move(value), now, out);
}

void owner::impl::reply(std::uint32_t n, subquery_reply value, time_point now, output& out) {
    auto& entry = table.at(n);
    const bool ran = entry.phase == subquery_phase::running;
    value.query = entry.header->batch.query;
    value.attempt = entry.attempt;
    value.shard = entry.shard;
    value.dispatch_sequence = entry.sequence;
    value.queued = (ran ? entry.dispatched_at : now) - entry.queued_at;
    value.service = ran ? now - entry.dispatched_at : duration::zero();
    value.held = entry.searcher->held(entry.shard);
    entry.replied = true;
    send(*entry.header, std::move(value), out);
}

void owner::impl::send(batch_header& header, subquery_reply value, output& out) {
    const bool last = --header.unreplied == 0;
    if (!header.closed) {
        out.emplace_back(owner_action::send_reply{header.stream, std::move(value), last});
    }
    if (last) {
        streams.erase(header.stream);
    }
}

owner::owner(std::string self)
    : impl_(std::make_unique<impl>()) {
    impl_->self = std::move(self);
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
    impl_->held = value;
}

void owner::handle(owner_input event, time_point now, std::vector<owner_output>& out) {
    std::visit([&](auto& it) { impl_->on(it, now, out); }, event);
}

bool owner::may_send(const std::string& searcher, time_point now) const {
    const auto* it = impl_->find(searcher);
    return it != nullptr && it->permits(impl_->held, now);
}

std::optional<time_point> owner::next_wakeup() const {
    auto next = impl_->timers.next();
    if (impl_->queues_changed) {
        next = next ? std::min(*next, *impl_->queues_changed) : impl_->queues_changed;
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

} // namespace skylarkseam
