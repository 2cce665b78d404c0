#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/gateway/crash_suspects.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Difference up to which two reports of an answer's time are the same: the age grows with each host that
/// passes a report on.
constexpr duration answer_tolerance = seconds(2);

constexpr name_table suspicion_names{std::array{
    named_value<suspicion>{suspicion::none, "none"},
    named_value<suspicion>{suspicion::suspected, "suspected"},
    named_value<suspicion>{suspicion::refused, "refused"},
}};

} // namespace

std::string_view name_of(suspicion value) {
    return suspicion_names.name_of(value);
}

std::size_t crash_suspects::count_ends(const suspect& it, time_point now) const {
    return static_cast<std::size_t>(std::count_if(
        it.ends.begin(), it.ends.end(), [&](const auto& end) { return now - end.when < limits_.memory; }));
}

std::size_t crash_suspects::ends_of(const std::string& fingerprint, time_point now) const {
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? 0 : count_ends(found->second, now);
}

std::optional<time_point> crash_suspects::refused_until(const std::string& fingerprint,
                                                        time_point now) const {
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || count_ends(found->second, now) < limits_.ends_to_refuse) {
        return std::nullopt;
    }
    const auto end = found->second.ends.back().when + limits_.refusal_time;
    return now < end ? std::optional(end) : std::nullopt;
}

suspicion crash_suspects::of(const std::string& fingerprint, time_point now) const {
    if (ends_of(fingerprint, now) == 0) {
        return suspicion::none;
    }
    return refused_until(fingerprint, now) ? suspicion::refused : suspicion::suspected;
}

bool crash_suspects::add_loss(const std::string& fingerprint, const known_searcher_ptr& searcher,
                              time_point sent, time_point now) {
    expire(now);
    const auto found = suspects_.find(fingerprint);
    const bool after_end =
        found == suspects_.end() || found->second.ends.empty() || sent > found->second.ends.back().when;
    const bool after_losses = std::none_of(losses_.begin(), losses_.end(), [&](const auto& it) {
        return it.fingerprint == fingerprint && sent <= it.when;
    });
    if (fingerprint.empty() || searcher->leaving || !after_end || !after_losses) {
        return false;
    }
    if (losses_.size() >= limits_.max_losses) {
        losses_.erase(losses_.begin());
    }
    losses_.push_back({fingerprint, searcher, sent, now});
    return true;
}

bool crash_suspects::undecided(const std::string& fingerprint, time_point now) const {
    return std::any_of(losses_.begin(), losses_.end(), [&](const auto& it) {
        return it.fingerprint == fingerprint && it.being_checked && now - it.when < limits_.loss_memory;
    });
}

void crash_suspects::note_checked(const known_searcher& searcher) {
    for (auto& it : losses_) {
        it.being_checked = it.being_checked && it.searcher.get() != &searcher;
    }
}

void crash_suspects::note_alive(const known_searcher& searcher, time_point sent) {
    std::erase_if(losses_, [&](const auto& it) { return it.searcher.get() == &searcher && it.when < sent; });
}

std::vector<std::string> crash_suspects::note_ended(const known_searcher& searcher, time_point now) {
    expire(now);
    std::vector<std::string> changed;
    std::erase_if(losses_, [&](const auto& it) {
        if (it.searcher.get() != &searcher) {
            return false;
        }
        // Meanwhile another host may have reported an end that came after this attempt was sent.
        const auto found = suspects_.find(it.fingerprint);
        const bool in_turn = found == suspects_.end() || found->second.ends.empty() ||
                             it.sent > found->second.ends.back().when;
        if (in_turn && add_end(it.fingerprint, {searcher.record.id, it.when}, now)) {
            changed.push_back(it.fingerprint);
        }
        return true;
    });
    return changed;
}

std::vector<std::string> crash_suspects::note_removed(time_point now) {
    std::vector<known_searcher_ptr> ended;
    for (const auto& it : losses_) {
        if (it.searcher->ended) {
            ended.push_back(it.searcher);
        }
    }
    std::vector<std::string> changed;
    for (const auto& it : ended) {
        const auto more = note_ended(*it, now);
        changed.insert(changed.end(), more.begin(), more.end());
    }
    return changed;
}

bool crash_suspects::note_answered(const std::string& fingerprint, time_point now) {
    std::erase_if(losses_, [&](const auto& it) { return it.fingerprint == fingerprint; });
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || !set_answered(found->second, now)) {
        return false;
    }
    found->second.sequence = ++sequence_;
    return true;
}

bool crash_suspects::set_answered(suspect& it, time_point when) {
    if (it.answered && when <= *it.answered + answer_tolerance) {
        return false;
    }
    it.answered = when;
    std::erase_if(it.ends, [&](const auto& end) { return end.when <= when; });
    return true;
}

bool crash_suspects::add_end(const std::string& fingerprint, searcher_end end, time_point now) {
    if (!suspects_.contains(fingerprint)) {
        make_room(now);
    }
    auto& it = suspects_[fingerprint];
    const bool known = std::any_of(it.ends.begin(), it.ends.end(),
                                   [&](const auto& one) { return one.searcher == end.searcher; });
    const bool too_old = it.ends.size() >= limits_.ends_to_refuse && end.when <= it.ends.front().when;
    if (known || too_old || (it.answered && end.when <= *it.answered) || now - end.when >= limits_.memory) {
        return false;
    }
    it.ends.push_back(std::move(end));
    std::sort(it.ends.begin(), it.ends.end(), [](const auto& a, const auto& b) { return a.when < b.when; });
    if (it.ends.size() > limits_.ends_to_refuse) {
        it.ends.erase(it.ends.begin());
    }
    it.sequence = ++sequence_;
    return true;
}

bool crash_suspects::has_end_beside(const std::string& fingerprint, const searcher_end& end) const {
    const auto found = suspects_.find(fingerprint);
    return found != suspects_.end() &&
           std::any_of(found->second.ends.begin(), found->second.ends.end(), [&](const auto& it) {
               const auto apart = it.when > end.when ? it.when - end.when : end.when - it.when;
               return it.searcher != end.searcher && apart < limits_.same_moment;
           });
}

void crash_suspects::make_room(time_point now) {
    expire(now);
    if (suspects_.size() < limits_.max_suspects) {
        return;
    }
    // The request with the fewest ends is the least likely to crash searchers, and of those the oldest.
    const auto rank = [](const suspect& it) { return std::pair(it.ends.size(), it.sequence); };
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(), [&](const auto& a, const auto& b) {
        return rank(a.second) < rank(b.second);
    }));
}

suspect_report crash_suspects::report_of(const std::string& fingerprint, const suspect& it, time_point now) {
    suspect_report report;
    report.fingerprint = fingerprint;
    for (const auto& end : it.ends) {
        report.ends.push_back({end.searcher, now - end.when});
    }
    if (it.answered) {
        report.answered = now - *it.answered;
    }
    return report;
}

std::vector<suspect_report> crash_suspects::reports_since(std::uint64_t after, time_point now) const {
    std::vector<suspect_report> out;
    for (const auto& [fingerprint, it] : suspects_) {
        if (it.sequence > after && !expired(it, now)) {
            out.push_back(report_of(fingerprint, it, now));
        }
    }
    return out;
}

std::vector<suspect_report> crash_suspects::refused_reports(time_point now) const {
    std::vector<suspect_report> out;
    for (const auto& [fingerprint, it] : suspects_) {
        if (refused_until(fingerprint, now)) {
            out.push_back(report_of(fingerprint, it, now));
        }
    }
    return out;
}

std::vector<std::string> crash_suspects::merge(const std::vector<suspect_report>& reports, time_point now) {
    expire(now);
    std::vector<std::string> changed;
    for (const auto& report : reports) {
        const auto found = suspects_.find(report.fingerprint);
        bool is_new = report.answered && found != suspects_.end() &&
                      set_answered(found->second, now - *report.answered);
        if (is_new) {
            found->second.sequence = ++sequence_;
        }
        const bool refused = report.ends.size() >= limits_.ends_to_refuse;
        for (const auto& reported : report.ends) {
            searcher_end end{reported.searcher, now - reported.age};
            if (refused || !has_end_beside(report.fingerprint, end)) {
                is_new = add_end(report.fingerprint, std::move(end), now) || is_new;
            }
        }
        if (is_new) {
            changed.push_back(report.fingerprint);
        }
    }
    return changed;
}

bool crash_suspects::expired(const suspect& it, time_point now) const {
    const bool answer_counts = it.answered && now - *it.answered < limits_.answer_memory;
    return !answer_counts && count_ends(it, now) == 0;
}

void crash_suspects::expire(time_point now) {
    std::erase_if(losses_, [&](const auto& it) { return now - it.when >= limits_.loss_memory; });
    std::erase_if(suspects_, [&](const auto& it) { return expired(it.second, now); });
}

std::size_t crash_suspects::refused(time_point now) const {
    return static_cast<std::size_t>(std::count_if(suspects_.begin(), suspects_.end(), [&](const auto& it) {
        return refused_until(it.first, now).has_value();
    }));
}

} // namespace skylarkseam
