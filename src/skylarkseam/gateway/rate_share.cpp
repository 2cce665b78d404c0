#include <skylarkseam/gateway/rate_share.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Requests that all hosts together may send at once, beyond the steady rate: what the limit allows in
/// `burst_seconds`, and `burst_requests` more.
constexpr double burst_seconds = 1.6;
constexpr double burst_requests = 4.0;
/// Lowest rate of all hosts together; only an answer shows that the limit is over.
constexpr double min_rate = 0.5;

} // namespace

void rate_share::set_limit(double per_second, double first_fill, time_point now) {
    if (!limit_) {
        allowance_ = first_fill;
        refilled_at_ = now;
    }
    limit_ = per_second;
}

time_point rate_share::next_at(std::uint32_t hosts, time_point now) {
    if (!limit_) {
        return {};
    }
    const double rate = std::max(*limit_, min_rate) / hosts;
    const double size = std::max(1.0, (burst_seconds * *limit_ + burst_requests) / hosts);
    const auto passed = std::chrono::duration<double>(now - refilled_at_).count();
    allowance_ = std::min(size, allowance_ + passed * rate);
    refilled_at_ = now;
    if (allowance_ >= 1.0) {
        return {};
    }
    const auto wait = std::chrono::duration<double>((1.0 - allowance_) / rate);
    return now + std::chrono::ceil<duration>(wait);
}

void rate_share::on_sent() {
    if (limit_) {
        allowance_ = std::max(0.0, allowance_ - 1.0);
    }
}

} // namespace skylarkseam
