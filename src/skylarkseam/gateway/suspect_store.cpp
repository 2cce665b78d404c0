#include <skylarkseam/gateway/suspect_store.hpp>

#include <algorithm>
#include <utility>

namespace skylarkseam {
namespace {

constexpr duration list_interval = seconds(60);
constexpr duration list_interval_alone = seconds(3);
constexpr duration first_backoff = milliseconds(250);
constexpr duration longest_backoff = seconds(5);
constexpr std::uint32_t max_doublings = 5;
/// Time after which a gateway that watches the store writes what the gateway that found it should have
/// written. The gateways take their turns at different times, so that mostly one of them writes.
constexpr duration stead_delay = seconds(2);
/// The same after the store has lost entries: until they are written again, only the gateways know them.
constexpr duration stead_delay_restored = milliseconds(200);
constexpr duration restored_time = seconds(10);
constexpr duration removal_spread = seconds(30);
constexpr std::uint32_t jitter_steps = 64;
constexpr std::size_t max_stored = 512;
/// Objects that are listed at most; those of other writers come on top of the gateways' own.
constexpr std::size_t max_listed = 4 * max_stored;

} // namespace

duration suspect_store::jittered(duration base) {
    return base / 2 + base * random_(jitter_steps) / jitter_steps;
}

void suspect_store::note_restored(time_point now) {
    restored_ = true;
    listed_at_ = now;
    list_wait_ = duration::zero();
    cursor_ = {};
    listing_.clear();
    created_.clear();
    write_due_.clear();
    written_again_until_ = now + restored_time;
}

std::optional<suspect_store_call> suspect_store::take_call(const crash_suspects& known, store_duty duty,
                                                           time_point now) {
    if (open_ || now < due_) {
        return std::nullopt;
    }
    std::optional<suspect_store_call> call;
    if (duty.watching && (now >= list_due(duty) || !cursor_.after().empty())) {
        call = suspect_store_call{suspect_store_call::kind::list, cursor_.after(), !restored_, {}};
    } else {
        call = next_write(known, duty, now);
    }
    open_ = call.has_value();
    return call;
}

time_point suspect_store::list_due(store_duty duty) const {
    return listed_at_ + (duty.alone ? std::min(list_wait_, list_interval_alone) : list_wait_);
}

std::optional<suspect_store_call> suspect_store::next_write(const crash_suspects& known, store_duty duty,
                                                            time_point now) {
    std::erase_if(found_, [&](const auto& it) { return known.ends_of(it, now) == 0; });
    std::erase_if(created_, [&](const auto& it) { return known.ends_of(it, now) == 0; });
    for (const auto& it : known.refused_reports(now)) {
        const auto& name = it.fingerprint;
        if (stored_.contains(name) || created_.contains(name) || stored_.size() >= max_stored) {
            continue;
        }
        const auto delay = now < written_again_until_ ? stead_delay_restored : stead_delay;
        const auto due = write_due_.try_emplace(name, now + delay + jittered(delay)).first;
        if (found_.contains(name) || (duty.watching && listed_ && now >= due->second)) {
            suspect_store_call call{suspect_store_call::kind::create, {}, false, {name, 0, {}}};
            for (const auto& end : it.ends) {
                call.entry.searchers.push_back(end.searcher);
            }
            return call;
        }
    }
    if (!duty.watching) {
        return std::nullopt;
    }
    for (const auto& [name, revision] : stored_) {
        if (known.ends_of(name, now) > 0) {
            continue;
        }
        const auto due = write_due_.try_emplace(name, now + jittered(removal_spread)).first;
        if (now >= due->second) {
            return suspect_store_call{suspect_store_call::kind::remove, {}, false, {name, revision, {}}};
        }
    }
    return std::nullopt;
}

std::vector<suspect_report> suspect_store::take_answer(const suspect_store_call& call,
                                                       const suspect_store_answer& answer, time_point now) {
    open_ = false;
    if (answer.status == suspect_store_status::unavailable) {
        const auto doublings = std::min(failures_++, max_doublings);
        due_ = now + jittered(std::min(longest_backoff, first_backoff * (1 << doublings)));
        cursor_ = {};
        listing_.clear();
        return {};
    }
    failures_ = 0;
    due_ = now;
    const auto& name = call.entry.fingerprint;
    switch (call.what) {
    case suspect_store_call::kind::list:
        return take_page(answer, now);
    case suspect_store_call::kind::create:
        created_.insert(name);
        write_due_.erase(name);
        break;
    case suspect_store_call::kind::remove:
        stored_.erase(name);
        write_due_.erase(name);
        break;
    }
    return {};
}

std::vector<suspect_report> suspect_store::take_page(const suspect_store_answer& answer, time_point now) {
    std::vector<suspect_report> fresh;
    bool has_new_name = false;
    for (const auto& it : answer.names) {
        has_new_name = cursor_.add(it) || has_new_name;
    }
    for (const auto& it : answer.entries) {
        listing_[it.fingerprint] = it.revision;
        if (stored_.contains(it.fingerprint)) {
            continue;
        }
        suspect_report report;
        report.fingerprint = it.fingerprint;
        for (const auto& searcher : it.searchers) {
            report.ends.push_back({searcher, {}});
        }
        fresh.push_back(std::move(report));
    }
    if (answer.more && has_new_name && cursor_.names().size() < max_listed) {
        return fresh;
    }
    // What this gateway has created meanwhile may be missing in a listing that is not current.
    stored_ = std::exchange(listing_, {});
    cursor_ = {};
    listed_ = true;
    restored_ = false;
    listed_at_ = now;
    list_wait_ = list_interval / 2 + jittered(list_interval / 2);
    return fresh;
}

std::optional<time_point> suspect_store::next_wakeup(const crash_suspects& known, store_duty duty,
                                                     time_point now) const {
    if (open_) {
        return std::nullopt;
    }
    std::optional<time_point> next;
    const auto add = [&](time_point when) { next = next ? std::min(*next, when) : when; };
    if (duty.watching) {
        add(list_due(duty));
    }
    for (const auto& it : known.refused_reports(now)) {
        const auto due = write_due_.find(it.fingerprint);
        const bool written = stored_.contains(it.fingerprint) || created_.contains(it.fingerprint) ||
                             stored_.size() >= max_stored;
        if (!written && (found_.contains(it.fingerprint) || due == write_due_.end())) {
            add(now);
        } else if (!written && duty.watching) {
            add(due->second);
        }
    }
    for (const auto& [name, revision] : stored_) {
        if (duty.watching && known.ends_of(name, now) == 0) {
            const auto due = write_due_.find(name);
            add(due == write_due_.end() ? now : due->second);
        }
    }
    return next ? std::optional(std::max(*next, due_)) : std::nullopt;
}

} // namespace skylarkseam
