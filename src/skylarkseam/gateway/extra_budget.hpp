// Retry budget of one host for a service. It limits the attempts beyond the first, so that all hosts together
// stay within the service's budget without any communication.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <array>
#include <cstdint>

namespace skylarkseam {

/// Budget of one service over all hosts. In any window, the number of extra attempts is at most `ratio` times
/// the number of requests, plus `slack`.
struct extra_budget_limits {
    double ratio = 0.2;
    double slack = 0.0;
    duration window = seconds(10);
    /// Time from which the slack may be used. How much of it this host's process used before a restart is
    /// unknown.
    time_point slack_available_from{};
};

/// This host's share of the budget: the ratio applied to the host's own requests, plus an equal share of the
/// slack. The shares add up to the whole budget, whichever hosts know about each other. Invariant: in any
/// window, the extra attempts stay within this share.
class extra_budget {
public:
    void on_request(time_point now);

    /// \param hosts  number of hosts that share the slack; at least 1
    [[nodiscard]] bool try_spend(const extra_budget_limits& limits, std::uint32_t hosts, time_point now);

    /// Number of extra attempts that may still be sent at `now`; none if below 1.
    [[nodiscard]] double remaining(const extra_budget_limits& limits, std::uint32_t hosts, time_point now);
    /// The remaining budget as a fraction of what this host may send in a window.
    [[nodiscard]] double remaining_share(const extra_budget_limits& limits, std::uint32_t hosts,
                                         time_point now);

private:
    /// Number of buckets in the window; buckets expire one at a time, as a whole.
    static constexpr std::size_t bucket_count = 20;

    struct bucket {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t extra = 0;
    };

    struct totals {
        double allowed = 0.0;
        double spent = 0.0;
    };

    bucket& bucket_at(const duration& window, time_point now);
    [[nodiscard]] totals totals_at(const extra_budget_limits& limits, std::uint32_t hosts, time_point now);

    std::array<bucket, bucket_count + 1> buckets_{};
    std::int64_t newest_index_ = 0;
    duration bucket_width_ = milliseconds(500);
};

} // namespace skylarkseam
