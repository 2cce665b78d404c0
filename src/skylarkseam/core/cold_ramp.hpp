// The number of slots that one searcher bears now: its cold limit after any sign of a cold start, rising by
// steps on success until it is warm again.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <array>
#include <string_view>

namespace skylarkseam {

/// What spoke for a cold start.
enum class cold_sign {
    taken_over,       ///< this node has just become its owner and does not know its state
    returned,         ///< it or its zone was taken out and is back
    health_cold,      ///< it says so itself
    boot_changed,     ///< its boot id differs from the last one seen
    connection_reset, ///< a connection to it was reset
    shed,             ///< it refused work
    latency_jump,     ///< its answers became several times slower at once
    unreachable,      ///< neither its health endpoint nor any request was answered
};

[[nodiscard]] std::string_view name_of(cold_sign sign);

/// Where a searcher states whether it is cold; each lags on its own.
enum class state_source { health, answer };

/// Invariant: cold slots <= limit() <= full slots, and limit() rises only in on_success().
class cold_ramp {
public:
    cold_ramp(const cold_start& rule, std::uint32_t full_slots, time_point now);

    void set_rule(const cold_start& rule, std::uint32_t full_slots);

    /// Takes the searcher as warm, on the word of an owner that has drained it.
    void start_warm();

    void on_sign(cold_sign sign, time_point now);

    /// A request that was sent at `sent` has been answered well. Work sent before the last sign proves
    /// nothing.
    void on_success(time_point sent, time_point now);

    /// What the searcher says of itself. "Cold" delays the next rise, "not cold" permits none by itself.
    void on_stated_state(state_source source, bool says_cold, time_point now);

    [[nodiscard]] std::uint32_t limit() const { return limit_; }
    [[nodiscard]] std::uint32_t full() const { return full_; }
    [[nodiscard]] bool cold() const { return cold_; }
    [[nodiscard]] std::string_view last_reason() const;

private:
    [[nodiscard]] bool rise_is_due(time_point now) const;

    cold_start rule_;
    std::uint32_t full_ = 1;
    std::uint32_t limit_ = 1;
    bool cold_ = true;                ///< false only while limit_ == full_
    std::array<bool, 2> says_cold_{}; ///< by state_source
    cold_sign reason_ = cold_sign::taken_over;
    time_point last_sign_{};
    time_point last_change_{};
    std::uint32_t successes_ = 0; ///< since the last change of the limit
};

} // namespace skylarkseam
