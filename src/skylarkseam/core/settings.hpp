// The settings of one node: who it is, where it listens, and its limits and times.
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
    std::string callers; ///< ip:port; port 0 takes a free one
    std::string admin;
    std::string peers;
};

/// What others may send or hold open here.
struct node_limits {
    std::size_t body_bytes = 1U << 20U;         ///< of one HTTP request
    std::size_t header_bytes = 32U << 10U;      ///< of one HTTP request, its first line included
    std::uint32_t connections = 4096;           ///< accepted HTTP connections on each port
    std::uint32_t open_requests = 16384;        ///< HTTP requests that wait for their answer
    std::size_t held_bytes = 64U << 20U;        ///< of the bodies and answers of open HTTP requests together
    std::size_t peer_frame_bytes = 4U << 20U;   ///< of one reply frame between nodes
    std::size_t peer_request_bytes = 4U << 20U; ///< of one request body between nodes
    std::uint32_t peer_streams = 4096;          ///< open streams on one connection between nodes
    std::uint32_t peer_connections = 2048;      ///< accepted connections from nodes
    std::size_t upstream_body_bytes = 16U << 20U; ///< of one searcher's answer
    std::uint32_t queue_length = 256;             ///< subqueries of one caller that wait for one searcher
};

struct node_timing {
    duration platform_timeout = seconds(2);   ///< of one call to the platform
    duration platform_watch = seconds(20);    ///< how long the platform may hold a watch
    duration peer_timeout = seconds(1);       ///< of one call to a peer
    duration cut_off = seconds(10);           ///< without platform and peers before new work is refused
    duration drain = seconds(30);             ///< the longest graceful shutdown
    duration health_poll = milliseconds(500); ///< between two polls of a searcher's health
};

struct node_settings {
    std::string name;
    std::string zone;
    std::string region;
    listen_addresses listen;
    std::string platform_url;
    std::vector<std::string> seeds; ///< ip:port of peers to ask first
    log_level level = log_level::info;
    node_limits limits;
    node_timing timing;
    std::optional<gateway_settings> gateway; ///< present: the node runs as a gateway
};

} // namespace skylarkseam
