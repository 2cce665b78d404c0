#include <skylarkseam/gateway/placement.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr duration memory = seconds(3); ///< after so long without an answer a slow one is tried again
constexpr duration pause_estimate = milliseconds(180);  ///< what is left of a searcher's pause, on average
constexpr duration leaving_penalty = milliseconds(400); ///< a leaving searcher only where there is no other
constexpr double refusal_cost =
    0.6; ///< of the objective: a refusal may cost the part, and the budget of others
constexpr double queue_weight = 0.35; ///< one more open request here stands for others of other hosts
constexpr double cold_slowness = 1.6;
constexpr double cold_part = 0.8; ///< of the rate that it bears, for hosts that do not know of each other
constexpr double spare_connections = 0.9;  ///< part of the connections that is used: others may be opening
constexpr std::uint32_t jitter_steps = 32; ///< so that hosts do not all prefer the same one
constexpr double jitter = 0.1;

bool in_regions(std::span<const std::string> regions, const std::string& region) {
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

bool contains(std::span<const known_searcher* const> list, const known_searcher* one) {
    return std::find(list.begin(), list.end(), one) != list.end();
}

double effective_slowness(const known_searcher& it, time_point now) {
    const bool cold = now < it.cold_until;
    const bool forgotten = it.open.empty() && now - it.last_ended > memory;
    const double slowness = forgotten ? 1.0 : it.slowness;
    return cold ? std::max(slowness, cold_slowness) : slowness;
}

/// A cold searcher bears few requests from all hosts together: the hosts of its zone share them.
bool cold_permits(known_searcher& it, const placement_request& request) {
    if (request.now >= it.cold_until || request.service->cold_rate <= 0.0) {
        return true;
    }
    if (it.far != distance::same_zone) {
        return false;
    }
    it.refill_cold_allowance(cold_part * request.service->cold_rate / request.hosts.in_own_zone, request.now);
    return it.cold_allowance >= 1.0;
}

} // namespace

std::uint32_t placement::connection_share(const gateway_service* service, const host_counts& hosts) {
    if (service == nullptr) {
        return 1;
    }
    const double part = spare_connections * service->max_connections / (hosts.zones * hosts.in_own_zone);
    return std::max(1U, static_cast<std::uint32_t>(part));
}

duration placement::expected(const known_searcher& it, const placement_request& request) const {
    const auto trip = trips_.to(it);
    const double slots = std::max(1U, it.record.slots);
    const double queue = 1.0 + queue_weight * static_cast<double>(it.open.size()) / slots;
    const double beyond = std::max(0.0, (static_cast<double>(it.open.size()) + 1.0 - slots) / slots);
    double work = static_cast<double>(request.usual.count());
    work *= effective_slowness(it, request.now) * (queue + beyond);
    work += refusal_cost * it.failure_share * static_cast<double>(request.objective.count());
    auto total = trip + duration(static_cast<std::int64_t>(work));
    if (it.stalled(request.now, trip)) {
        total += pause_estimate;
    }
    if (it.leaving) {
        total += leaving_penalty;
    }
    return total;
}

placement_choice placement::pick(const placement_request& request) {
    placement_choice best;
    const auto share = connection_share(request.service, request.hosts);
    if (request.service == nullptr) {
        return best;
    }
    for (const auto& it : searchers_.of_service(request.service->name)) {
        if (it->evacuated || searchers_.drained(*it, request.now) || it->fault == searcher_fault::replaced ||
            !in_regions(request.home_regions, it->region) || contains(request.tried, it.get())) {
            continue;
        }
        if (!cold_permits(*it, request)) {
            best.outcome = best.outcome == placement_outcome::none ? placement_outcome::full : best.outcome;
            continue;
        }
        const bool faulty = it->fault != searcher_fault::none;
        if (faulty && (request.now < it->probe_at || !it->open.empty())) {
            best.outcome = best.outcome == placement_outcome::none ? placement_outcome::down : best.outcome;
            continue;
        }
        if (it->open.size() >= std::min(share, static_cast<std::uint32_t>(it->window))) {
            if (best.outcome != placement_outcome::found) {
                const auto at_best = trips_.to(*it) + request.usual;
                best.outcome = placement_outcome::full;
                best.expected = best.room == 0 ? at_best : std::min(best.expected, at_best);
                best.room += share;
            }
            continue;
        }
        auto expected_here = expected(*it, request);
        expected_here += duration(static_cast<std::int64_t>(
            jitter * static_cast<double>(request.usual.count()) * random_(jitter_steps) / jitter_steps));
        if (faulty && it->far != distance::same_zone) {
            expected_here += pause_estimate;
        }
        if (best.outcome != placement_outcome::found || expected_here < best.expected) {
            best = {placement_outcome::found, it, expected_here, faulty};
        }
    }
    return best;
}

} // namespace skylarkseam
