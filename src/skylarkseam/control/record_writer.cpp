#include <skylarkseam/control/record_writer.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::size_t max_attempts = 8;
constexpr std::size_t max_sent_reads = 8;
constexpr int max_backoff_doublings = 4;

} // namespace

bool record_writer::can_call(time_point now) const {
    const bool timed_out = pending_call_since_ && now - *pending_call_since_ >= timing_.platform_timeout;
    return (!pending_call_since_ || timed_out) && now >= retry_at_;
}

bool record_writer::platform_reachable(time_point now) const {
    const bool late = pending_call_since_ && now - *pending_call_since_ > timing_.max_usable_latency;
    return answered_in_time_ && !late;
}

void record_writer::begin_call(time_point now) {
    if (pending_call_since_) {
        answered_in_time_ = false;
        record_failure(now);
    }
    ++last_call_;
    pending_call_since_ = now;
    last_call_sent_at_ = now;
}

void record_writer::read(time_point now, std::vector<cell_output>& out) {
    begin_call(now);
    ++reads_;
    sent_reads_.push_back({last_call_, now});
    if (sent_reads_.size() > max_sent_reads) {
        sent_reads_.pop_front();
    }
    out.emplace_back(cell_action::read_record{last_call_});
}

void record_writer::write(record_version base_version, cell_record record,
                          std::map<std::string, std::uint64_t> acknowledged, time_point now,
                          std::vector<cell_output>& out) {
    begin_call(now);
    ++writes_;
    record.token = token_prefix_ + std::to_string(last_call_);
    attempts_.push_back({last_call_, base_version, now, record, std::move(acknowledged)});
    if (attempts_.size() > max_attempts) {
        attempts_.pop_front();
    }
    out.emplace_back(cell_action::write_record{last_call_, base_version, std::move(record)});
}

void record_writer::record_failure(time_point now) {
    failures_ = std::min(failures_ + 1, max_backoff_doublings);
    const auto delay = timing_.platform_retry_delay * (1 << (failures_ - 1));
    retry_at_ = now + std::min(delay, timing_.max_platform_retry_delay);
}

std::optional<write_attempt> record_writer::extract_attempt(const std::string& token) {
    const auto found =
        std::ranges::find_if(attempts_, [&](const auto& it) { return it.record.token == token; });
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    auto attempt = std::move(*found);
    attempts_.erase(found);
    return attempt;
}

platform_result record_writer::on_answer(const cell_event::platform_answered& answer, time_point now) {
    platform_result found;
    const bool current = answer.call == last_call_;
    if (current) {
        pending_call_since_.reset();
        found.latency = now - last_call_sent_at_;
        answered_in_time_ = answer.status != platform_status::unavailable &&
                            answer.status != platform_status::throttled &&
                            found.latency <= timing_.max_usable_latency;
    }
    const auto attempt =
        std::ranges::find_if(attempts_, [&](const auto& it) { return it.call == answer.call; });
    const bool is_write = attempt != attempts_.end();
    const auto read =
        std::ranges::find_if(sent_reads_, [&](const auto& it) { return it.call == answer.call; });
    const auto read_sent = read == sent_reads_.end() ? std::nullopt : std::optional(read->sent);
    if (read_sent) {
        sent_reads_.erase(read);
    }
    switch (answer.status) {
    case platform_status::ok:
        failures_ = 0;
        if (is_write) {
            found.version = answer.version;
            found.record = attempt->record;
        } else if (read_sent) {
            found.version = answer.version;
            last_read_ = std::max(last_read_.value_or(*read_sent), *read_sent);
            found.record = answer.record;
        }
        if (found.record) {
            found.own_write = extract_attempt(found.record->token);
        }
        break;
    case platform_status::not_found:
        failures_ = 0;
        found.missing = read_sent.has_value();
        break;
    case platform_status::conflict:
        // An earlier update of this node may have caused the conflict; a read shows this by the record's
        // token.
        failures_ = 0;
        found.conflict = true;
        if (is_write) {
            attempts_.erase(attempt);
        }
        break;
    default:
        if (current) {
            record_failure(now);
        }
        if (is_write && (answer.not_sent || answer.status != platform_status::unavailable)) {
            attempts_.erase(attempt);
        }
    }
    return found;
}

void record_writer::discard_superseded(record_version known) {
    std::erase_if(attempts_, [&](const auto& it) { return it.base_version < known; });
}

} // namespace skylarkseam
