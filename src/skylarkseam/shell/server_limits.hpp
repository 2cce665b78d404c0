// The limits of a node's servers, from its settings.
#pragma once

#include <skylarkseam/core/settings.hpp>
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/peer_transport.hpp>

namespace skylarkseam {

[[nodiscard]] inline http_limits http_limits_of(const node_limits& limits) {
    http_limits out;
    out.body_bytes = limits.body_bytes;
    out.header_bytes = limits.header_bytes;
    out.connections = limits.connections;
    out.open_requests = limits.open_requests;
    out.held_bytes = limits.held_bytes;
    return out;
}

[[nodiscard]] inline peer_limits peer_limits_of(const node_limits& limits) {
    return {limits.peer_frame_bytes, limits.peer_request_bytes, limits.peer_streams, limits.peer_connections};
}

} // namespace skylarkseam
