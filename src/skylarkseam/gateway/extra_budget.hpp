// Bounds the attempts beyond the first that one host sends to a service, so that all hosts together stay
// within the service's budget without talking to each other.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <array>
#include <cstdint>

namespace skylarkseam {

/// The budget of one service over all hosts: in any window, extra attempts may make up `ratio` of the
/// requests and `slack` more.
struct extra_budget_limits {
    double ratio = 0.2;
    double slack = 0.0;
    duration window = seconds(10);
    /// Until then the slack is not touched: what this host's process spent of it before a restart is not
    /// known.
    time_point slack_available_from{};
};

/// This host's part of the budget: the ratio of its own requests, and an equal part of the slack. The parts
/// add up to the whole, whichever hosts see each other. Invariant: in any window, spent() stays within it.
class extra_budget {
public:
    void on_request(time_point now);

    /// \param hosts  that the slack is divided over; at least 1
    [[nodiscard]] bool try_spend(const extra_budget_limits& limits, std::uint32_t hosts, time_point now);

    /// The extra attempts that may still be sent at `now`; below 1: none.
    [[nodiscard]] double left(const extra_budget_limits& limits, std::uint32_t hosts, time_point now);
    /// The same as a part of all that this host may send in a window.
    [[nodiscard]] double part_left(const extra_budget_limits& limits, std::uint32_t hosts, time_point now);

private:
    static constexpr std::size_t slots = 20; ///< of the window; an old one leaves as a whole

    struct slot {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t extra = 0;
    };

    struct sums {
        double allowed = 0.0;
        double spent = 0.0;
    };

    slot& slot_at(const duration& window, time_point now);
    [[nodiscard]] sums sums_at(const extra_budget_limits& limits, std::uint32_t hosts, time_point now);

    std::array<slot, slots + 1> slots_{};
    std::int64_t newest_ = 0;
    duration width_ = milliseconds(500);
};

} // namespace skylarkseam
