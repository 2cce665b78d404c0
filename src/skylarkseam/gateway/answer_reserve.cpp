#include <skylarkseam/gateway/answer_reserve.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Time to merge and write an answer.
constexpr duration answer_time = milliseconds(3);
/// Share of the timers that may run later than the reserve allows for.
constexpr double lateness_quantile = 0.95;
/// Assumed for the way of an answer whose client's round trip is not known.
constexpr duration unknown_way = milliseconds(12);
constexpr std::int64_t unknown_way_objective_percent = 8;
/// Largest reserve, as a part of the objective.
constexpr std::int64_t max_reserve_divisor = 2;

} // namespace

duration answer_reserve::of(duration objective, std::optional<duration> round_trip) const {
    // The request has used half a round trip before it arrived, and a round trip more on a new connection.
    const auto way =
        round_trip ? *round_trip * 2 : unknown_way + objective * unknown_way_objective_percent / 100;
    const auto late = lateness_.size() == 0 ? duration::zero() : lateness_.quantile(lateness_quantile);
    return std::min(objective / max_reserve_divisor, way + answer_time + late);
}

} // namespace skylarkseam
