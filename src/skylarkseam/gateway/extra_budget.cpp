#include <skylarkseam/gateway/extra_budget.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Share of the budget that a host uses. The rest covers requests that clients cancel and clock differences
/// between hosts, so that the sum over all hosts stays within the budget.
constexpr double usable_share = 0.95;

} // namespace

extra_budget::bucket& extra_budget::bucket_at(const duration& window, time_point now) {
    bucket_width_ = std::max(duration(1), window / static_cast<std::int64_t>(bucket_count));
    newest_index_ = now.time_since_epoch() / bucket_width_;
    auto& it = buckets_[static_cast<std::size_t>(newest_index_) % buckets_.size()];
    if (it.index != newest_index_) {
        it = {newest_index_, 0, 0};
    }
    return it;
}

void extra_budget::on_request(time_point now) {
    ++bucket_at(bucket_width_ * static_cast<std::int64_t>(bucket_count), now).requests;
}

extra_budget::totals extra_budget::totals_at(const extra_budget_limits& limits, std::uint32_t hosts,
                                             time_point now) {
    bucket_at(limits.window, now);
    double requests = 0.0;
    double extra = 0.0;
    for (const auto& it : buckets_) {
        const auto age = newest_index_ - it.index;
        if (it.index < 0 || age > static_cast<std::int64_t>(bucket_count)) {
            continue;
        }
        // Only the end of the oldest bucket may lie inside the window. Its extra attempts therefore still
        // count, and its requests no longer do.
        extra += it.extra;
        requests += age < static_cast<std::int64_t>(bucket_count) ? it.requests : 0;
    }
    const double slack = now < limits.slack_available_from ? 0.0 : limits.slack / std::max(1U, hosts);
    const double host_budget = limits.ratio * requests + slack;
    return {usable_share * host_budget, extra};
}

double extra_budget::remaining(const extra_budget_limits& limits, std::uint32_t hosts, time_point now) {
    const auto it = totals_at(limits, hosts, now);
    return it.allowed - it.spent;
}

double extra_budget::remaining_share(const extra_budget_limits& limits, std::uint32_t hosts, time_point now) {
    const auto it = totals_at(limits, hosts, now);
    return it.allowed <= 0.0 ? 0.0 : (it.allowed - it.spent) / it.allowed;
}

bool extra_budget::try_spend(const extra_budget_limits& limits, std::uint32_t hosts, time_point now) {
    if (remaining(limits, hosts, now) < 1.0) {
        return false;
    }
    ++bucket_at(limits.window, now).extra;
    return true;
}

} // namespace skylarkseam
