#include <skylarkseam/control/record_writer.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::size_t most_attempts = 8;
constexpr int most_doublings = 4;

} // namespace

bool record_writer::ready(time_point now) const {
    const bool timed_out = under_way_since_ && now - *under_way_since_ >= timing_.platform_timeout;
    return (!under_way_since_ || timed_out) && now >= retry_at_;
}

bool record_writer::reachable(time_point now) const {
    const bool late = under_way_since_ && now - *under_way_since_ > timing_.usable_latency;
    return answered_in_time_ && !late;
}

void record_writer::begin_call(time_point now) {
    if (under_way_since_) {
        answered_in_time_ = false;
        note_failure(now);
    }
    ++last_call_;
    under_way_since_ = now;
    call_sent_ = now;
}

void record_writer::read(time_point now, std::vector<cell_output>& out) {
    begin_call(now);
    ++reads_;
    out.emplace_back(cell_action::read_record{last_call_});
}

void record_writer::write(record_version base, cell_record record,
                          std::map<std::string, std::uint64_t> acknowledged, time_point now,
                          std::vector<cell_output>& out) {
    begin_call(now);
    ++writes_;
    record.token = token_prefix_ + std::to_string(last_call_);
    attempts_.push_back({last_call_, base, now, record, std::move(acknowledged)});
    if (attempts_.size() > most_attempts) {
        attempts_.pop_front();
    }
    out.emplace_back(cell_action::write_record{last_call_, base, std::move(record)});
}

void record_writer::note_failure(time_point now) {
    failures_ = std::min(failures_ + 1, most_doublings);
    const auto pause = timing_.platform_retry * (1 << (failures_ - 1));
    retry_at_ = now + std::min(pause, timing_.platform_retry_most);
}

std::optional<write_attempt> record_writer::take_attempt(const std::string& token) {
    const auto found =
        std::ranges::find_if(attempts_, [&](const auto& it) { return it.record.token == token; });
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    auto attempt = std::move(*found);
    attempts_.erase(found);
    return attempt;
}

platform_finding record_writer::take(const cell_event::platform_answered& answer, time_point now) {
    platform_finding found;
    const bool current = answer.call == last_call_;
    if (current) {
        under_way_since_.reset();
        found.latency = now - call_sent_;
        answered_in_time_ = answer.status != platform_status::unavailable &&
                            answer.status != platform_status::throttled &&
                            found.latency <= timing_.usable_latency;
    }
    const auto attempt =
        std::ranges::find_if(attempts_, [&](const auto& it) { return it.call == answer.call; });
    const bool is_write = attempt != attempts_.end();
    switch (answer.status) {
    case platform_status::ok:
        failures_ = 0;
        found.version = answer.version;
        if (is_write) {
            found.record = attempt->record;
        } else {
            last_read_ = call_sent_;
            found.record = answer.record;
        }
        if (found.record) {
            found.own = take_attempt(found.record->token);
        }
        break;
    case platform_status::not_found:
        failures_ = 0;
        found.missing = !is_write;
        break;
    case platform_status::conflict:
        // The conflict may be with our own earlier attempt, which a read will show by its token.
        failures_ = 0;
        found.conflict = true;
        if (is_write) {
            attempts_.erase(attempt);
        }
        break;
    default:
        if (current) {
            note_failure(now);
        }
        if (is_write && (answer.not_sent || answer.status != platform_status::unavailable)) {
            attempts_.erase(attempt);
        }
    }
    return found;
}

void record_writer::settle(record_version known) {
    std::erase_if(attempts_, [&](const auto& it) { return it.base < known; });
}

} // namespace skylarkseam
