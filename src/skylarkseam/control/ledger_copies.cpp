#include <skylarkseam/control/ledger_copies.hpp>

#include <algorithm>

namespace skylarkseam {

ledger_copies::ledger_copies(ledger_copies_settings settings)
    : settings_(settings) {}

bool ledger_copies::hold(const std::string& segment_json) {
    const auto segment = decode_segment(segment_json);
    if (!segment || bytes_ + segment_json.size() > settings_.memory_bytes) {
        return false;
    }
    const auto name = segment_name(*segment);
    erase(name);
    bytes_ += segment_json.size();
    copies_[name] = {segment->node, segment->incarnation, segment->last, segment_kind(*segment),
                     segment_json};
    return true;
}

void ledger_copies::erase(const std::string& name) {
    if (const auto found = copies_.find(name); found != copies_.end()) {
        bytes_ -= found->second.json.size();
        copies_.erase(found);
    }
}

void ledger_copies::release(const std::string& node, std::uint64_t incarnation, std::uint64_t up_to) {
    std::erase_if(copies_, [&](const auto& it) {
        const auto& held = it.second;
        const bool stored = held.node == node && held.incarnation == incarnation && held.last <= up_to;
        bytes_ -= stored ? held.json.size() : 0;
        return stored;
    });
}

bool ledger_copies::is_orphan(const copy& it) const {
    return std::none_of(members_.begin(), members_.end(), [&](const member& candidate) {
        return candidate.node == it.node && candidate.incarnation == it.incarnation;
    });
}

void ledger_copies::set_members(std::vector<member> members, time_point now) {
    members_ = std::move(members);
    const bool orphans =
        std::any_of(copies_.begin(), copies_.end(), [&](const auto& it) { return is_orphan(it.second); });
    if (!orphans) {
        next_write_.reset();
    } else if (!next_write_) {
        next_write_ = now + settings_.write_interval;
    }
}

void ledger_copies::pass_time(time_point now, std::vector<platform_call>& out) {
    if (!next_write_ || now < *next_write_ || !writing_.empty()) {
        return;
    }
    const auto orphan =
        std::find_if(copies_.begin(), copies_.end(), [&](const auto& it) { return is_orphan(it.second); });
    next_write_.reset();
    if (orphan == copies_.end()) {
        return;
    }
    writing_ = orphan->first;
    platform_request request;
    request.method = platform_method::create;
    request.kind = orphan->second.kind;
    request.name = orphan->first;
    request.value_json = orphan->second.json;
    out.push_back({++last_call_, std::move(request)});
}

void ledger_copies::handle(const platform_answer& event, time_point now,
                           std::vector<platform_call>& /*out*/) {
    if (event.id != last_call_ || writing_.empty()) {
        return;
    }
    const auto status = event.response.status;
    if (status == platform_status::ok || status == platform_status::conflict) {
        erase(writing_);
    }
    writing_.clear();
    next_write_ = now + settings_.write_interval;
}

std::optional<time_point> ledger_copies::next_wakeup() const {
    return writing_.empty() ? next_write_ : std::nullopt;
}

} // namespace skylarkseam
