// Long polls for registrations that other gateways make at this one as the second source of their zone. A
// poll is held until a registration has changed after the poll's position.
#pragma once

#include <skylarkseam/gateway/store_replica.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace skylarkseam {

struct held_searcher_poll {
    std::uint64_t id = 0; ///< Chosen by the caller, which keeps the connection
    searchers_position position;
    time_point until{}; ///< Time at which it is answered in any case
};

class searcher_polls {
public:
    void add(const held_searcher_poll& poll) { held_.push_back(poll); }
    /// Removes and returns the polls that have to be answered now.
    std::vector<held_searcher_poll> take_due(const store_replica& known, time_point now);
    std::vector<held_searcher_poll> take_all();

    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    std::vector<held_searcher_poll> held_;
};

} // namespace skylarkseam
