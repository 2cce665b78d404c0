// The settings of one node: its identity, listen addresses, limits and timeouts.
#pragma once

#include <skylarkseam/core/time.hpp>
#include <skylarkseam/gateway/settings.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

enum class log_level { trace, debug, info, warning, error };

struct listen_addresses {
    std::string callers; ///< Address for callers as ip:port; port 0 selects a free port.
    std::string admin;
    std::string peers;
};

/// Limits on the requests, answers and connections that a node accepts.
struct node_limits {
    std::size_t body_bytes = 1U << 20U; ///< Maximum body size of one HTTP request.
    /// Maximum header size of one HTTP request, including the request line.
    std::size_t header_bytes = 32U << 10U;
    std::uint32_t connections = 4096;    ///< Maximum number of accepted HTTP connections per port.
    std::uint32_t open_requests = 16384; ///< Maximum number of HTTP requests without an answer yet.
    /// Maximum total size of the bodies and answers of open HTTP requests.
    std::size_t held_bytes = 64U << 20U;
    std::size_t peer_frame_bytes = 4U << 20U;   ///< Maximum size of one reply frame between nodes.
    std::size_t peer_request_bytes = 4U << 20U; ///< Maximum size of one request body between nodes.
    std::uint32_t peer_streams = 4096;     ///< Maximum number of open streams per connection between nodes.
    std::uint32_t peer_connections = 2048; ///< Maximum number of accepted connections from other nodes.
    std::size_t upstream_body_bytes = 16U << 20U; ///< Maximum size of one searcher's answer.
    std::uint32_t queue_length = 256; ///< Maximum number of queued subqueries per caller and searcher.
};

struct node_timing {
    duration platform_timeout = seconds(2); ///< Timeout of one call to the platform.
    duration platform_watch = seconds(20);  ///< Maximum time that the platform holds a watch open.
    duration peer_timeout = seconds(1);     ///< Timeout of one call to a peer.
    /// Time without contact to the platform and to any peer after which new work is refused.
    duration cut_off = seconds(10);
    duration drain = seconds(30);             ///< Maximum duration of a graceful shutdown.
    duration health_poll = milliseconds(500); ///< Interval between two health polls of a searcher.
};

struct node_settings {
    std::string name;
    std::string zone;
    std::string region;
    listen_addresses listen;
    std::string platform_url;
    std::vector<std::string> seeds; ///< Addresses (ip:port) of the peers to contact first.
    log_level level = log_level::info;
    node_limits limits;
    node_timing timing;
    /// Settings of the gateway; when set, the node runs as a gateway.
    std::optional<gateway_settings> gateway;
};

} // namespace skylarkseam
