// IP addresses as "ip:port" texts, and the sockets that are opened by them.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <optional>
#include <string>

namespace skylarkseam {

/// Opens a non-blocking listening socket on ip:port; throws std::runtime_error that names the address and the
/// fault.
[[nodiscard]] int open_listener(const std::string& address);

/// Starts a non-blocking connection to ip:port; -1 where it fails at once.
[[nodiscard]] int start_connection(const std::string& address);

/// Sends small writes at once (TCP_NODELAY).
void disable_send_delay(int fd);

/// Bounds how long a connection may go silent without a reset: data that stays unacknowledged for
/// `unacknowledged_ms`, or `probes` keep-alive probes a second apart after `idle_s` without traffic, end it.
void limit_silence(int fd, int unacknowledged_ms, int idle_s, int probes);

/// The round-trip time of a connection as the kernel has measured it; absent if it has not.
[[nodiscard]] std::optional<duration> round_trip_of(int fd);

/// The local address of a socket.
[[nodiscard]] std::string bound_address(int fd);

} // namespace skylarkseam
