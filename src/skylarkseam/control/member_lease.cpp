#include <skylarkseam/control/member_lease.hpp>

#include <algorithm>
#include <vector>

namespace skylarkseam {
namespace {

constexpr std::size_t max_remembered_messages = 64;

} // namespace

std::uint64_t member_lease::record_send(time_point now) {
    sent_.push_back({++last_sequence_, now});
    if (sent_.size() > max_remembered_messages) {
        sent_.pop_front();
    }
    return last_sequence_;
}

std::optional<time_point> member_lease::sent_at(std::uint64_t sequence) const {
    const auto found = std::ranges::lower_bound(sent_, sequence, {}, &sent_message::sequence);
    if (found == sent_.end() || found->sequence != sequence) {
        return std::nullopt;
    }
    return found->at;
}

void member_lease::acknowledge(std::uint64_t sequence) {
    if (const auto at = sent_at(sequence)) {
        renew(*at);
    }
}

void member_lease::renew(time_point sent) {
    renewed_at_ = renewed_at_ ? std::max(*renewed_at_, sent) : sent;
}

void member_lease::add_promise(const std::string& node, std::uint64_t sequence) {
    if (const auto at = sent_at(sequence)) {
        auto& latest = promise_request_times_[node];
        latest = std::max(latest, *at);
    }
}

void member_lease::revoke() {
    renewed_at_.reset();
    promise_request_times_.clear();
}

authority member_lease::current(std::size_t members) const {
    time_point end{};
    if (renewed_at_) {
        end = *renewed_at_ + shortened_by_drift(timing_, timing_.lease);
    }
    const auto quorum = promise_quorum(timing_.rule, members);
    if (members > 0 && promise_request_times_.size() >= quorum) {
        std::vector<time_point> sent;
        for (const auto& [node, at] : promise_request_times_) {
            sent.push_back(at);
        }
        std::ranges::sort(sent, std::greater<>{});
        end = std::max(end, sent[quorum - 1] + shortened_by_drift(timing_, timing_.promise_duration));
    }
    return end == time_point{} ? authority{} : authority{end - timing_.warm_only_period, end};
}

} // namespace skylarkseam
