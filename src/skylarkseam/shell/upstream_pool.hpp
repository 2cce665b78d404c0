// The connections to all searchers. Requests go out on a kept connection where there is one, else on a new
// one.
#pragma once

#include <skylarkseam/shell/upstream_connection.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace skylarkseam {

using upstream_call_id = std::uint64_t;

struct upstream_call {
    upstream_call_id id = 0;
    std::string address; ///< ip:port
    upstream_request request;
    duration connect_timeout{};
    duration settle_time{}; ///< for which a new connection is watched before the request is sent
};

/// Counts since the start, and what is open now.
struct upstream_pool_counters {
    std::uint64_t calls = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t stray_closes = 0; ///< idle connections that the searcher closed or wrote to
    std::size_t connections = 0;
    std::size_t held_bytes = 0; ///< of answers that are being read
};

class upstream_pool {
public:
    /// Called once for each call that is not cancelled.
    using result_handler = std::function<void(upstream_call_id id, upstream_result result)>;

    /// Called for a call that waited for its connection to open, when its request goes out.
    using sending_handler = std::function<void(upstream_call_id id)>;

    upstream_pool(event_loop& loop, std::size_t body_limit, result_handler on_result,
                  sending_handler on_sending = {});
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// False where the request waits for a connection to open; nothing has been sent until on_sending.
    bool send(upstream_call call);

    /// Closes the connection of a call, whose result is not reported any more.
    void cancel(upstream_call_id id);

    [[nodiscard]] const upstream_pool_counters& counters() const;

    /// Bytes of the answers that are being read on all connections; beyond it only small answers are read on.
    static constexpr std::size_t max_held_bytes = 48U << 20U;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
