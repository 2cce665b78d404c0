// How long before a request's objective its answer has to be given, so that it reaches the client in time.
// What is observed decides: the round trip to the client, and how late this host runs its timers.
#pragma once

#include <skylarkseam/gateway/sample_window.hpp>

#include <optional>

namespace skylarkseam {

class answer_reserve {
public:
    /// A timer that was due at `due` ran at `now`.
    void note_timer(time_point due, time_point now) { lateness_.add(now - due); }

    /// \param objective   latency objective of the request
    /// \param round_trip  to the client and back; absent if it is not known
    [[nodiscard]] duration of(duration objective, std::optional<duration> round_trip) const;

private:
    sample_window lateness_{64};
};

} // namespace skylarkseam
