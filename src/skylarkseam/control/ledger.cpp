#include <skylarkseam/control/ledger.hpp>

#include <algorithm>

namespace skylarkseam {

ledger::ledger(std::string node, std::uint64_t incarnation, time_point now, ledger_settings settings)
    : node_(std::move(node))
    , incarnation_(incarnation)
    , settings_(settings)
    , head_(chain_start(node_, incarnation)) {
    ledger_record opened;
    opened.kind = ledger_kind::opened;
    append(opened, now);
    seal(now);
}

ledger_receipt ledger::append(const ledger_record& record, time_point now) {
    append_line(encode_ledger_record(record, ++sequence_), now);
    counters_.records += record.kind == ledger_kind::query ? 1 : 0;
    return {node_, incarnation_, sequence_, head_};
}

void ledger::append_line(std::string line, time_point now) {
    if (open_.lines.empty()) {
        open_ = {node_, incarnation_, sequence_, sequence_, head_, "", false, {}};
        opened_ = now;
    }
    head_ = chain_hash(head_, line);
    open_.last = sequence_;
    open_.head = head_;
    open_bytes_ += line.size();
    open_.lines.push_back(std::move(line));
    if (open_bytes_ >= settings_.segment_bytes) {
        seal(now);
    }
}

void ledger::close(time_point now) {
    ledger_record closed;
    closed.kind = ledger_kind::closed;
    append(closed, now);
    closing_ = true;
    seal(now);
}

/// Seals the open segment, which then waits to be stored.
void ledger::seal(time_point now) {
    if (open_.lines.empty()) {
        return;
    }
    sealed_.push_back({std::move(open_), open_bytes_, false, false});
    sealed_bytes_ += open_bytes_;
    open_ = {};
    open_bytes_ = 0;
    next_write_ = std::max(next_write_, now);
    if (sealed_bytes_ > settings_.memory_bytes) {
        declare_oldest_lost();
    }
}

/// Declares the oldest segment as lost, except one whose create may have taken effect. Lost segments are not
/// merged, because a peer may have stored its copy of one of them under the same name.
void ledger::declare_oldest_lost() {
    const auto first = sealed_.begin() + (sealed_.front().attempted ? 1 : 0);
    const auto it =
        std::find_if(first, sealed_.end(), [](const auto& candidate) { return !candidate.segment.lost; });
    if (it == sealed_.end()) {
        return;
    }
    counters_.records_lost += it->segment.lines.size();
    sealed_bytes_ -= it->bytes;
    it->bytes = 0;
    it->copied = true;
    it->segment.lost = true;
    it->segment.lines.clear();
}

void ledger::handle(const ledger_input& event, time_point now, std::vector<ledger_output>& out) {
    if (const auto* answer = std::get_if<platform_answer>(&event)) {
        if (write_pending_ && answer->id == last_call_) {
            on_stored(answer->response, now, out);
        }
    }
    if (!open_.lines.empty() && now >= opened_ + settings_.segment_age) {
        seal(now);
    }
    if (last_write_failed_) {
        copy_unstored_segments(out);
    }
    if (write_pending_ || sealed_.empty() || now < next_write_) {
        return;
    }
    write_pending_ = true;
    sealed_.front().attempted = true;
    platform_request request;
    request.method = platform_method::create;
    request.kind = segment_kind(sealed_.front().segment);
    request.name = segment_name(sealed_.front().segment);
    request.value_json = encode_segment(sealed_.front().segment);
    counters_.bytes_stored += request.value_json.size();
    out.emplace_back(platform_call{++last_call_, std::move(request)});
}

/// Handles the answer to a create. A conflict means that an earlier create took effect or that the peer has
/// stored its copy.
void ledger::on_stored(const platform_response& response, time_point now, std::vector<ledger_output>& out) {
    write_pending_ = false;
    const bool stored =
        response.status == platform_status::ok || response.status == platform_status::conflict;
    if (!stored) {
        last_write_failed_ = true;
        backoff_ = std::clamp(2 * backoff_, settings_.initial_backoff, settings_.max_backoff);
        next_write_ = now + backoff_;
        return;
    }
    last_write_failed_ = false;
    backoff_ = duration{};
    next_write_ = now + settings_.write_interval;
    ++counters_.segments_stored;
    sealed_bytes_ -= sealed_.front().bytes;
    const auto up_to = sealed_.front().segment.last;
    sealed_.pop_front();
    if (copies_held_) {
        copies_held_ = std::any_of(sealed_.begin(), sealed_.end(), [](const auto& it) { return it.copied; });
        out.emplace_back(ledger_action::release_copies{up_to});
    }
}

void ledger::copy_unstored_segments(std::vector<ledger_output>& out) {
    for (auto& it : sealed_) {
        if (!it.copied) {
            it.copied = true;
            copies_held_ = true;
            ++counters_.copies;
            out.emplace_back(ledger_action::copy_segment{encode_segment(it.segment)});
        }
    }
}

std::optional<time_point> ledger::next_wakeup() const {
    std::optional<time_point> next;
    if (!open_.lines.empty()) {
        next = opened_ + settings_.segment_age;
    }
    if (!write_pending_ && !sealed_.empty() && (!next || next_write_ < *next)) {
        next = next_write_;
    }
    return next;
}

std::uint64_t ledger::backlog() const {
    return sealed_.empty() ? open_.lines.size() : sequence_ + 1 - sealed_.front().segment.first;
}

} // namespace skylarkseam
