#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/gateway/store_follower.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::uint32_t jitter_steps = 64;
constexpr std::uint32_t most_urgent_failures = 16; ///< beyond, the store is not merely slow to come back

constexpr name_table kind_names{std::array{
    named_value<store_kind>{store_kind::routing, "routing"},
    named_value<store_kind>{store_kind::searchers, "searchers"},
    named_value<store_kind>{store_kind::evacuations, "evacuations"},
}};

} // namespace

std::string_view name_of(store_kind kind) {
    return kind_names.name_of(kind);
}

store_follower::store_follower(store_timing timing, std::uint64_t seed)
    : timing_(timing)
    , random_(seed) {}

void store_follower::set_active(bool active, const store_revisions& known, time_point now) {
    if (active == active_) {
        return;
    }
    active_ = active;
    for (const auto kind : store_kinds) {
        auto& it = line_of(kind);
        const auto revision = known[static_cast<std::size_t>(kind)];
        if (active && !it.open && revision >= it.revision && revision > 0) {
            it.revision = revision;
            it.listing_revision.reset();
            it.due = now;
        }
    }
}

void store_follower::take_calls(time_point now, std::vector<store_call>& out) {
    if (!active_) {
        return;
    }
    for (const auto kind : store_kinds) {
        auto& it = line_of(kind);
        if (it.open || now < it.due) {
            continue;
        }
        it.open = true;
        it.open_watch = it.revision > 0 && !it.listing_revision;
        store_call call;
        call.kind = kind;
        call.watch = it.open_watch;
        call.timeout = timeout_of(it);
        if (call.watch) {
            call.revision = it.revision;
            call.wait = timing_.watch_wait;
            call.timeout += timing_.watch_wait;
        } else {
            call.after = it.after;
        }
        out.push_back(std::move(call));
    }
}

void store_follower::take_answer(store_kind kind, store_answer answer, time_point now,
                                 std::vector<store_output>& out) {
    auto& it = line_of(kind);
    it.open = false;
    if (answer.status == store_status::throttled || answer.status == store_status::unavailable) {
        fail(kind, answer, now, out);
        return;
    }
    if (it.failing_since) {
        out.emplace_back(store_event::store_regained{kind, now - *it.failing_since});
        it.failing_since.reset();
    }
    it.pause = duration::zero();
    it.failures = 0;
    it.heard = now;
    const bool away = last_failure_ && now - *last_failure_ < timing_.unsettled;
    if (answer.status == store_status::history_gone) {
        it.revision = 0;
        it.due = now;
        return;
    }
    if (!it.open_watch) {
        take_listing(kind, std::move(answer.page), away, now, out);
        return;
    }
    it.due = answer.page.entries.empty() ? now : now + timing_.gather;
    it.revision = std::max(it.revision, answer.page.revision);
    for (auto& entry : answer.page.entries) {
        if (entry.deleted) {
            ++entry.revision; // the object's own is that of its last change, which came before
        }
        out.emplace_back(store_event::entry_changed{kind, std::move(entry), away});
    }
    out.emplace_back(store_event::confirmed{kind, it.revision});
}

void store_follower::take_listing(store_kind kind, store_page page, bool away, time_point now,
                                  std::vector<store_output>& out) {
    auto& it = line_of(kind);
    if (!it.listing_revision) {
        it.listing_revision = page.revision;
    }
    it.due = now;
    const bool more = page.more && !page.entries.empty();
    for (auto& entry : page.entries) {
        it.after = std::max(it.after, entry.name);
        it.names.insert(entry.name);
        out.emplace_back(store_event::entry_changed{kind, std::move(entry), away});
    }
    if (more) {
        return;
    }
    // Changes that came during the listing are watched for from its first page on.
    it.revision = *it.listing_revision;
    it.listing_revision.reset();
    it.after.clear();
    it.listed_once = true;
    out.emplace_back(store_event::listed{kind, std::move(it.names), it.revision, away});
    it.names.clear();
}

void store_follower::fail(store_kind kind, const store_answer& answer, time_point now,
                          std::vector<store_output>& out) {
    auto& it = line_of(kind);
    last_failure_ = now;
    if (!it.failing_since) {
        it.failing_since = now;
        out.emplace_back(store_event::store_lost{kind, answer.detail});
    }
    // A listing that broke off begins anew.
    it.listing_revision.reset();
    it.after.clear();
    it.names.clear();
    ++it.failures;
    if (!it.listed_once) {
        it.pause = timing_.first_pause;
    } else if (patient_) {
        it.pause = timing_.patient_pause;
    } else {
        it.pause = std::clamp(it.pause * 2, timing_.first_pause, timing_.longest_pause);
    }
    it.due = now + jittered(it.pause);
}

duration store_follower::timeout_of(const line& it) const {
    if (it.listed_once || it.failures >= most_urgent_failures) {
        return timing_.call_timeout;
    }
    return std::min(timing_.call_timeout, timing_.urgent_timeout * (1 + it.failures));
}

std::optional<time_point> store_follower::next_wakeup() const {
    std::optional<time_point> next;
    if (!active_) {
        return next;
    }
    for (const auto& it : lines_) {
        if (!it.open && (!next || it.due < *next)) {
            next = it.due;
        }
    }
    return next;
}

bool store_follower::listed_all() const {
    return std::all_of(lines_.begin(), lines_.end(), [](const auto& it) { return it.listed_once; });
}

std::optional<time_point> store_follower::heard(store_kind kind) const {
    return line_of(kind).heard;
}

duration store_follower::jittered(duration base) {
    return base / 2 + base * random_(jitter_steps) / jitter_steps;
}

} // namespace skylarkseam
