#include <skylarkseam/gateway/extra_budget.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Part of the budget that is used, so that requests which clients give up and clocks that differ between
/// hosts do not carry the sum over the whole.
constexpr double used_part = 0.95;

} // namespace

extra_budget::slot& extra_budget::slot_at(const duration& window, time_point now) {
    width_ = std::max(duration(1), window / static_cast<std::int64_t>(slots));
    newest_ = now.time_since_epoch() / width_;
    auto& it = slots_[static_cast<std::size_t>(newest_) % slots_.size()];
    if (it.index != newest_) {
        it = {newest_, 0, 0};
    }
    return it;
}

void extra_budget::on_request(time_point now) {
    ++slot_at(width_ * static_cast<std::int64_t>(slots), now).requests;
}

extra_budget::sums extra_budget::sums_at(const extra_budget_limits& limits, std::uint32_t hosts,
                                         time_point now) {
    slot_at(limits.window, now);
    double requests = 0.0;
    double extra = 0.0;
    for (const auto& it : slots_) {
        const auto age = newest_ - it.index;
        if (it.index < 0 || age > static_cast<std::int64_t>(slots)) {
            continue;
        }
        // The oldest slot may reach into the window with its end only: its extra attempts still count, its
        // requests no longer.
        extra += it.extra;
        requests += age < static_cast<std::int64_t>(slots) ? it.requests : 0;
    }
    const double slack = now < limits.slack_available_from ? 0.0 : limits.slack / std::max(1U, hosts);
    const double part = limits.ratio * requests + slack;
    return {used_part * part, extra};
}

double extra_budget::left(const extra_budget_limits& limits, std::uint32_t hosts, time_point now) {
    const auto it = sums_at(limits, hosts, now);
    return it.allowed - it.spent;
}

double extra_budget::part_left(const extra_budget_limits& limits, std::uint32_t hosts, time_point now) {
    const auto it = sums_at(limits, hosts, now);
    return it.allowed <= 0.0 ? 0.0 : (it.allowed - it.spent) / it.allowed;
}

bool extra_budget::try_spend(const extra_budget_limits& limits, std::uint32_t hosts, time_point now) {
    if (left(limits, hosts, now) < 1.0) {
        return false;
    }
    ++slot_at(limits.window, now).extra;
    return true;
}

} // namespace skylarkseam
