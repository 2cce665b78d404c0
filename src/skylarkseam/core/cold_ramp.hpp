// Concurrency limit (number of slots) of one searcher. The limit drops to the configured cold limit on any
// signal of a cold start and rises in steps on successful requests until the searcher is warm again.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <array>
#include <string_view>

namespace skylarkseam {

/// Observation from which a cold start is inferred.
enum class cold_signal {
    taken_over,       ///< This node has just become the searcher's owner and has no state for it.
    returned,         ///< The searcher or its zone was out of service and is in service again.
    health_cold,      ///< The searcher reports "cold" itself.
    boot_changed,     ///< The searcher's boot id differs from the previous one.
    connection_reset, ///< A connection to the searcher was reset.
    shed,             ///< The searcher rejected a request because of overload.
    latency_jump,     ///< The searcher's latency rose abruptly by a multiple.
    unreachable,      ///< Neither the health poll nor any request was answered.
};

[[nodiscard]] std::string_view name_of(cold_signal signal);

/// Channels on which a searcher reports whether it is cold. Each has its own delay.
enum class state_source { health, answer };

/// Slow start of one searcher after a cold start.
/// Invariant: cold slots <= limit() <= full slots, and, with unchanged settings, limit() rises only in
/// on_success() and start_warm().
class cold_ramp {
public:
    cold_ramp(const cold_start& settings, std::uint32_t full_slots, time_point now);

    void set_settings(const cold_start& settings, std::uint32_t full_slots);

    /// Sets the full limit, for a searcher whose previous owner has drained it and handed it over warm.
    void start_warm();

    void on_signal(cold_signal signal, time_point now);

    /// Records a successful answer to a request sent at `sent`. Requests sent before the last signal are
    /// ignored, because the searcher may have turned cold after it ran them.
    void on_success(time_point sent, time_point now);

    /// Records the state that the searcher reports. "Cold" delays the next increase of the limit; "not cold"
    /// alone does not cause an increase.
    void on_reported_state(state_source source, bool reports_cold, time_point now);

    [[nodiscard]] std::uint32_t limit() const { return limit_; }
    [[nodiscard]] std::uint32_t full() const { return full_limit_; }
    [[nodiscard]] bool cold() const { return cold_; }
    [[nodiscard]] std::string_view last_reason() const;

private:
    [[nodiscard]] bool increase_is_due(time_point now) const;

    cold_start settings_;
    std::uint32_t full_limit_ = 1;
    std::uint32_t limit_ = 1;
    bool cold_ = true; ///< Whether the searcher counts as cold; false only while limit_ == full_limit_.
    std::array<bool, 2> reported_cold_{}; ///< Last report of each channel, indexed by state_source.
    cold_signal last_signal_ = cold_signal::taken_over;
    time_point last_signal_at_{};
    time_point last_limit_change_at_{};
    std::uint32_t successes_since_change_ = 0; ///< Number of successes since the last change of the limit.
};

} // namespace skylarkseam
