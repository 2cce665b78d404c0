// Stops sending to a searcher that fails again and again, and tries it with single requests after a pause.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>

namespace skylarkseam {

class breaker {
public:
    /// Whether a request may be sent now; while open, one at the end of each pause.
    [[nodiscard]] bool allows(time_point now) const;

    /// A request is being sent; after a pause it is the only one until its outcome is known.
    void on_send(time_point now);

    void on_success();
    void on_failure(time_point now);

    [[nodiscard]] bool open() const { return failures_ >= threshold; }
    [[nodiscard]] time_point retry_at() const { return retry_at_; }

private:
    static constexpr std::uint32_t threshold = 5; ///< failures in a row
    static constexpr duration first_pause = milliseconds(200);
    static constexpr duration longest_pause = seconds(5);

    std::uint32_t failures_ = 0;
    duration pause_ = first_pause;
    time_point retry_at_{}; ///< meaningful while open
};

} // namespace skylarkseam
