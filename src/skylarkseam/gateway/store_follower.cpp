#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/gateway/store_follower.hpp>

#include <algorithm>
#include <utility>

namespace skylarkseam {
namespace {

constexpr std::uint32_t jitter_steps = 64;
constexpr std::uint32_t max_lengthened_timeouts = 16; ///< Failures after which the full call timeout applies
constexpr duration min_watch_wait = milliseconds(200);
/// Time that a confirmation needs from the store to a gateway that follows a watching one over another.
constexpr duration confirmation_lag = milliseconds(800);
/// Stands for an incomplete listing: objects that it lacks may be older than any revision of the store.
constexpr std::uint64_t least_revision = 1;

constexpr name_table kind_names{std::array{
    named_value<store_kind>{store_kind::routing, "routing"},
    named_value<store_kind>{store_kind::searchers, "searchers"},
    named_value<store_kind>{store_kind::evacuations, "evacuations"},
}};

} // namespace

std::string_view name_of(store_kind kind) {
    return kind_names.name_of(kind);
}

store_timing store_timing::for_peers(const peer_timing& peers) {
    store_timing timing;
    timing.watch_wait =
        std::clamp(peers.max_source_age - confirmation_lag, min_watch_wait, timing.watch_wait);
    return timing;
}

store_follower::store_follower(store_timing timing, std::uint64_t seed)
    : timing_(timing)
    , random_(seed) {}

bool store_follower::includes(store_scope scope, store_kind kind) {
    return scope == store_scope::everything ||
           (scope == store_scope::searchers && kind == store_kind::searchers);
}

bool store_follower::may_probe() const {
    return scope_ == store_scope::everything && relaxed_retry_ &&
           std::all_of(states_.begin(), states_.end(), is_known);
}

void store_follower::set_scope(store_scope scope, const store_revisions& known, time_point now) {
    if (scope == scope_) {
        return;
    }
    const auto before = std::exchange(scope_, scope);
    for (const auto kind : store_kinds) {
        if (includes(before, kind) == includes(scope, kind)) {
            continue;
        }
        auto& it = state_of(kind);
        it.confirm_soon = true;
        const auto revision = known[static_cast<std::size_t>(kind)];
        if (includes(scope, kind) && !it.open && revision >= it.revision && revision > 0) {
            it.revision = revision;
            it.listing_revision.reset();
            it.due = now;
        }
    }
    // A gateway that has watched the searchers knows whether the store answers.
    probing_ = before == store_scope::nothing && may_probe();
}

void store_follower::take_calls(time_point now, std::vector<store_call>& out) {
    for (const auto kind : store_kinds) {
        auto& it = state_of(kind);
        if (it.open || now < it.due || !calls_for(kind)) {
            continue;
        }
        if (it.list_again_at && now >= *it.list_again_at) {
            it.list_again_at.reset();
            it.revision = 0;
        }
        it.open = true;
        it.called_at = now;
        it.open_watch = it.revision > 0 && !it.listing_revision;
        it.open_continues = it.open_watch || !it.cursor.after().empty();
        it.open_incarnation = incarnation_;
        store_call call;
        call.kind = kind;
        call.watch = it.open_watch;
        call.timeout = timeout_of(it);
        if (call.watch) {
            call.revision = it.revision;
            call.wait = std::exchange(it.confirm_soon, false) ? timing_.first_watch_wait : timing_.watch_wait;
            call.timeout = call.wait + timing_.watch_slack;
            it.open_wait = call.wait;
        } else {
            call.after = it.cursor.after();
        }
        out.push_back(std::move(call));
    }
}

void store_follower::take_answer(store_kind kind, store_answer answer, time_point now,
                                 std::vector<store_output>& out) {
    auto& it = state_of(kind);
    it.open = false;
    if (!accept_incarnation(it, answer, now, out)) {
        return;
    }
    if (answer.status == store_status::throttled || answer.status == store_status::unavailable) {
        handle_failure(kind, answer, now, out);
        return;
    }
    if (it.failing_since) {
        out.emplace_back(store_event::store_regained{kind, now - *it.failing_since});
        it.failing_since.reset();
    }
    probing_ = false;
    it.backoff = duration::zero();
    it.failures = 0;
    it.last_answer_at = now;
    const bool store_was_away = last_failure_ && now - *last_failure_ < timing_.lapse_window;
    if (answer.status == store_status::history_gone) {
        it.revision = 0;
        it.due = now;
        return;
    }
    if (!it.open_watch) {
        take_listing(kind, std::move(answer.page), store_was_away, now, out);
        return;
    }
    // A store that answers at once although nothing has changed would be asked without a pause.
    const bool useless = answer.page.entries.empty() && answer.page.revision <= it.revision &&
                         now - it.called_at < it.open_wait / 2;
    it.due = answer.page.entries.empty() && !useless ? now : now + timing_.watch_batch_delay;
    it.revision = std::max(it.revision, answer.page.revision);
    for (auto& entry : answer.page.entries) {
        if (entry.deleted) {
            ++entry.revision; // The object has the revision of its last change, which precedes the deletion.
        }
        out.emplace_back(store_event::entry_changed{kind, std::move(entry), store_was_away});
    }
    out.emplace_back(store_event::confirmed{kind, it.list_again_at ? least_revision : it.revision});
}

bool store_follower::accept_incarnation(kind_state& it, const store_answer& answer, time_point now,
                                        std::vector<store_output>& out) {
    if (answer.incarnation > incarnation_) {
        if (incarnation_ > 0) {
            out.emplace_back(store_event::restored{incarnation_, answer.incarnation});
        }
        incarnation_ = answer.incarnation;
        list_all_again(now);
    } else if (answer.incarnation > 0 && answer.incarnation < incarnation_) {
        it.due = now + jittered(timing_.initial_backoff);
        return false;
    }
    if (answer.status == store_status::ok && it.open_continues && it.open_incarnation != incarnation_) {
        it.due = now;
        return false;
    }
    return true;
}

void store_follower::note_incarnation(std::uint64_t incarnation, time_point now) {
    if (incarnation > incarnation_) {
        incarnation_ = incarnation;
        list_all_again(now);
    }
}

void store_follower::list_all_again(time_point now) {
    for (auto& it : states_) {
        it.revision = 0;
        it.listing_revision.reset();
        it.cursor = {};
        if (!it.failing_since) {
            it.due = now;
        }
    }
}

void store_follower::take_listing(store_kind kind, store_page page, bool store_was_away, time_point now,
                                  std::vector<store_output>& out) {
    auto& it = state_of(kind);
    if (!it.listing_revision) {
        it.listing_revision = page.revision;
    }
    it.due = now;
    bool has_new_name = false;
    for (auto& entry : page.entries) {
        has_new_name = it.cursor.add(entry.name) || has_new_name;
        out.emplace_back(store_event::entry_changed{kind, std::move(entry), store_was_away});
    }
    if (page.more && has_new_name) {
        return;
    }
    // The watch starts at the revision of the first page, so it includes changes made during the listing.
    it.revision = *it.listing_revision;
    it.listing_revision.reset();
    it.listed_once = true;
    it.list_again_at = page.more ? std::optional(now + timing_.incomplete_listing_interval) : std::nullopt;
    const auto known_up_to = page.more ? least_revision : it.revision;
    out.emplace_back(
        store_event::listed{kind, it.cursor.take_names(), known_up_to, store_was_away, !page.more});
}

void store_follower::handle_failure(store_kind kind, const store_answer& answer, time_point now,
                                    std::vector<store_output>& out) {
    auto& it = state_of(kind);
    last_failure_ = now;
    if (!it.failing_since) {
        it.failing_since = now;
        out.emplace_back(store_event::store_lost{kind, answer.detail});
    }
    // An interrupted listing restarts from its first page.
    it.listing_revision.reset();
    it.cursor = {};
    ++it.failures;
    it.confirm_soon = true;
    probing_ = may_probe();
    if (!is_known(it)) {
        it.backoff = timing_.initial_backoff;
    } else if (relaxed_retry_) {
        it.backoff = timing_.relaxed_backoff;
    } else {
        it.backoff = std::clamp(it.backoff * 2, timing_.initial_backoff, timing_.max_backoff);
    }
    it.due = now + jittered(it.backoff);
}

duration store_follower::timeout_of(const kind_state& it) const {
    if (is_known(it) || it.failures >= max_lengthened_timeouts) {
        return timing_.call_timeout;
    }
    return std::min(timing_.call_timeout, timing_.initial_call_timeout * (1 + it.failures));
}

std::optional<time_point> store_follower::next_wakeup() const {
    std::optional<time_point> next;
    for (const auto kind : store_kinds) {
        const auto& it = state_of(kind);
        if (!it.open && calls_for(kind) && (!next || it.due < *next)) {
            next = it.due;
        }
    }
    return next;
}

std::optional<time_point> store_follower::lost_at() const {
    std::optional<time_point> first;
    for (const auto kind : store_kinds) {
        const auto& it = state_of(kind);
        if (includes(scope_, kind) && it.failing_since && (!first || *it.failing_since < *first)) {
            first = it.failing_since;
        }
    }
    return first ? std::optional(*first + timing_.loss_time) : std::nullopt;
}

bool store_follower::listed_all() const {
    return std::all_of(states_.begin(), states_.end(), [](const auto& it) { return it.listed_once; });
}

std::optional<time_point> store_follower::last_answer_at(store_kind kind) const {
    return state_of(kind).last_answer_at;
}

duration store_follower::jittered(duration base) {
    return base / 2 + base * random_(jitter_steps) / jitter_steps;
}

} // namespace skylarkseam
