// Steps of a gateway's graceful shutdown. Clients continue to send requests, on open and on new connections,
// until the process has ended, because the balancer of a zone with few gateways still routes to this one.
// Requests are taken only as long as enough time is left to answer them.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <algorithm>
#include <cstddef>

namespace skylarkseam {

enum class stop_step {
    serve,      ///< Requests are served as before; each answer closes its connection
    refuse_new, ///< New connections and new requests are refused; open requests are served
    end,        ///< No request is open; the process exits
    cut,        ///< Time limit reached; open requests are answered at once and the process exits
};

/// Time in which the balancer detects that this gateway is not ready. The balancer polls once a second and
/// needs two failed polls; a third second, less the duration of a poll, is added.
constexpr duration balancer_detection_time = milliseconds(2600);
/// Time reserved before the process is killed, so that the last answers reach their clients.
constexpr duration final_answer_margin = milliseconds(400);

/// \param since  time since the stop signal
/// \param grace  time from the stop signal until the process is killed
constexpr stop_step next_stop_step(duration since, duration grace, std::size_t open_requests) {
    if (since >= grace - final_answer_margin) {
        return stop_step::cut;
    }
    // At least half of the time is left for the requests that are open by then.
    if (since < std::min(balancer_detection_time, (grace - final_answer_margin) / 2)) {
        return stop_step::serve;
    }
    // Open requests are answered first. The exit closes idle connections, and their clients see the close
    // before this process has read any part of a later request.
    return open_requests == 0 ? stop_step::end : stop_step::refuse_new;
}

} // namespace skylarkseam
