// How a gateway ends after it was told to stop. Answers the load pattern in which clients go on coming, on
// open connections and new ones, until the process is gone: a zone with few gateways sends them here all the
// same.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstddef>

namespace skylarkseam {

enum class stop_step {
    serve,      ///< go on as before; answers end their connections
    refuse_new, ///< take no new connections; go on with those that are open
    end,        ///< nothing is open: the process may go
    cut,        ///< the time is up: answer what is open, and go
};

/// The balancer looks once a second and needs two looks; one more second, less what it takes to look.
constexpr duration balancer_notice = milliseconds(2600);
/// Before the process is killed: answers have to reach their clients.
constexpr duration stop_margin = milliseconds(400);

/// \param since  the process was told to stop
/// \param grace  after which it is killed
constexpr stop_step next_stop_step(duration since, duration grace, std::size_t open_requests) {
    if (since >= grace - stop_margin) {
        return stop_step::cut;
    }
    if (since < balancer_notice) {
        return stop_step::serve;
    }
    // Requests that are open now are answered first; connections that are idle are closed by the end, which
    // their clients see before anything of a later request was read.
    return open_requests == 0 ? stop_step::end : stop_step::refuse_new;
}

} // namespace skylarkseam
