#include <skylarkseam/gateway/placement.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Time without an ended attempt after which a slow searcher is tried again.
constexpr duration observation_ttl = seconds(3);
/// Average remaining time of a searcher's pause.
constexpr duration remaining_pause_estimate = milliseconds(180);
/// Large enough that a leaving searcher is chosen only if there is no other.
constexpr duration leaving_penalty = milliseconds(400);
/// Fraction of the objective; a refusal may cost the part its answer and use up the retry budget of other
/// requests.
constexpr double refusal_cost = 0.6;
/// Weight of one open request of this host; it also represents open requests of other hosts.
constexpr double open_request_weight = 0.35;
constexpr double cold_slowness = 1.6;
/// Share of the cold rate that is used; the rest is for hosts that do not know about each other.
constexpr double usable_cold_rate_share = 0.8;
/// Share of the connections that is used; the rest is for connections that are being opened.
constexpr double usable_connection_share = 0.9;
/// Jitter keeps the hosts from all preferring the same searcher.
constexpr std::uint32_t jitter_steps = 32;
constexpr double jitter_share = 0.1;
constexpr std::uint32_t fill_steps = 64;

bool in_regions(std::span<const std::string> regions, const std::string& region) {
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

bool contains(std::span<const known_searcher* const> list, const known_searcher* searcher) {
    return std::find(list.begin(), list.end(), searcher) != list.end();
}

double effective_slowness(const known_searcher& it, bool cold, time_point now) {
    const bool observation_expired = it.open.empty() && now - it.last_ended > observation_ttl;
    const double slowness = observation_expired ? 1.0 : it.slowness;
    return cold ? std::max(slowness, cold_slowness) : slowness;
}

/// True if the rate limit of a cold searcher allows another request. The limit applies to all hosts together
/// and is divided among the hosts in the searcher's zone.
bool cold_rate_allows(known_searcher& it, bool cold, const placement_request& request, pcg32& random) {
    if (!cold || request.service->cold_rate <= 0.0) {
        return true;
    }
    if (it.network_distance != distance::same_zone) {
        return false;
    }
    it.refill_cold_allowance(usable_cold_rate_share * request.service->cold_rate / request.hosts.in_own_zone,
                             static_cast<double>(random(fill_steps)) / fill_steps, request.now);
    return it.cold_allowance >= 1.0;
}

} // namespace

std::uint32_t placement::connection_share(const gateway_service* service, const host_counts& hosts) {
    if (service == nullptr) {
        return 1;
    }
    const double part =
        usable_connection_share * service->max_connections / (hosts.zones * hosts.in_own_zone);
    return std::max(1U, static_cast<std::uint32_t>(part));
}

duration placement::expected_latency(const known_searcher& it, const placement_request& request) const {
    const auto round_trip = round_trips_.to(it);
    const double slots = std::max(1U, it.record.slots);
    const double queue = 1.0 + open_request_weight * static_cast<double>(it.open.size()) / slots;
    const double excess = std::max(0.0, (static_cast<double>(it.open.size()) + 1.0 - slots) / slots);
    double work = static_cast<double>(request.typical_latency.count());
    const bool cold = searchers_.may_be_cold(it, request.service->warm_up, request.now);
    work *= effective_slowness(it, cold, request.now) * (queue + excess);
    work += refusal_cost * it.failure_rate * static_cast<double>(request.objective.count());
    auto total = round_trip + duration(static_cast<std::int64_t>(work));
    if (it.stalled(request.now, round_trip)) {
        total += remaining_pause_estimate;
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
            !in_regions(request.home_regions, it->region) || contains(request.tried, it.get()) ||
            (request.without_suspects && it->has_suspected_request())) {
            continue;
        }
        const auto accepts_at =
            std::max(it->back_off_until, it->rate.next_at(request.hosts.total, request.now));
        if (request.now < accepts_at) {
            const bool first = best.available_at == time_point{};
            best.available_at = first ? accepts_at : std::min(best.available_at, accepts_at);
            if (best.outcome == placement_outcome::none || best.outcome == placement_outcome::down) {
                best.outcome = placement_outcome::backing_off;
            }
            continue;
        }
        const bool cold = searchers_.may_be_cold(*it, request.service->warm_up, request.now);
        if (!cold_rate_allows(*it, cold, request, random_)) {
            const bool no_other =
                best.outcome == placement_outcome::none || best.outcome == placement_outcome::backing_off;
            best.outcome = no_other ? placement_outcome::full : best.outcome;
            continue;
        }
        const bool faulty = it->fault != searcher_fault::none;
        const bool probe_due = faulty && request.now >= it->probe_at && it->open.empty();
        best.probe_due = best.probe_due || (probe_due && request.probes == probe_rule::none);
        if (faulty && (!probe_due || request.probes == probe_rule::none)) {
            best.outcome = best.outcome == placement_outcome::none ? placement_outcome::down : best.outcome;
            continue;
        }
        if (it->open.size() >= std::min(share, static_cast<std::uint32_t>(it->window))) {
            if (best.outcome != placement_outcome::found) {
                const auto idle_latency = round_trips_.to(*it) + request.typical_latency;
                best.outcome = placement_outcome::full;
                best.expected_latency =
                    best.max_open == 0 ? idle_latency : std::min(best.expected_latency, idle_latency);
                best.max_open += share;
            }
            continue;
        }
        auto expected_with_jitter = expected_latency(*it, request);
        expected_with_jitter += duration(
            static_cast<std::int64_t>(jitter_share * static_cast<double>(request.typical_latency.count()) *
                                      random_(jitter_steps) / jitter_steps));
        if (faulty && it->network_distance != distance::same_zone) {
            expected_with_jitter += remaining_pause_estimate;
        }
        const bool preferred = faulty && request.probes == probe_rule::wanted;
        const bool settled = best.probe && !preferred && request.probes == probe_rule::wanted;
        const bool better = (preferred && !best.probe) || expected_with_jitter < best.expected_latency;
        if (best.outcome != placement_outcome::found || (!settled && better)) {
            best.outcome = placement_outcome::found;
            best.target = it;
            best.expected_latency = expected_with_jitter;
            best.probe = faulty;
        }
    }
    return best;
}

} // namespace skylarkseam
