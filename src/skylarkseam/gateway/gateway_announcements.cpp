// What searchers state about themselves in their answers: that they leave, that they want no requests for
// some time, and how many requests a second they accept.
#include <skylarkseam/gateway/gateway.hpp>

#include <array>
#include <cstdio>

namespace skylarkseam {
namespace {

constexpr std::uint32_t fill_steps = 64;

std::string decimal(double value) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.1f", value);
    return buf.data();
}

} // namespace

void gateway::record_announcements(known_searcher& it, const attempt_result& result, time_point now) {
    // An answer of another searcher at the same address says nothing of this one.
    if (result.outcome == attempt_outcome::replaced) {
        return;
    }
    if (result.searcher_leaving && it.on_leaving_announced(now)) {
        ++counters_.leaving_announced;
        pending_reports_.push_back({it.record.id, it.record.service, "draining", "announced in an answer"});
    }
    record_rate_limit(it, result, now);
    if (result.back_off) {
        ++counters_.back_offs;
        if (it.on_back_off(*result.back_off, now)) {
            pending_reports_.push_back(
                {it.record.id, it.record.service, "backing_off",
                 "asked for no requests for " + std::to_string(to_ms(*result.back_off)) + " ms"});
        }
    }
}

void gateway::record_rate_limit(known_searcher& it, const attempt_result& result, time_point now) {
    if (!result.rate_limit) {
        // A refusal may come from a part of the searcher that knows nothing of its limit.
        if (it.rate.limit() && result.outcome == attempt_outcome::answered) {
            it.rate.lift();
            pending_reports_.push_back(
                {it.record.id, it.record.service, "unlimited", "states no limit any more"});
        }
        return;
    }
    if (!it.rate.limit()) {
        ++counters_.rate_limits;
        pending_reports_.push_back({it.record.id, it.record.service, "limited",
                                    "accepts " + decimal(*result.rate_limit) + " requests a second"});
    }
    const double first_fill = random_(fill_steps) / double{fill_steps};
    it.rate.set_limit(*result.rate_limit, first_fill, now);
}

} // namespace skylarkseam
