// Messages between nodes: HTTP/2 streams by nghttp2, one connection for each pair of nodes and direction.
// A stream carries one request and any number of reply frames; a reset withdraws it.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>

#include <functional>
#include <memory>
#include <string>

namespace skylarkseam {

/// Limits of what a peer may send, each a setting.
struct peer_limits {
    std::size_t frame_bytes = 4U << 20U;   ///< one reply frame
    std::size_t request_bytes = 4U << 20U; ///< one request body
    std::uint32_t streams = 4096;          ///< open streams on one connection
    std::uint32_t connections = 2048;      ///< accepted connections
};

/// How a stream ended for the side that opened it.
struct stream_end {
    bool complete = false; ///< the peer finished it in order
    bool sent = true;      ///< false: no byte of the request left this process
    std::string detail;
    bool answered = false; ///< the peer has answered, if only that it does not serve the topic
};

using peer_stream = std::uint64_t;

/// Opens streams to peers.
class peer_client {
public:
    peer_client(event_loop& loop, peer_limits limits);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// \param address   ip:port of the peer
    /// \param topic     what the request is, for instance "subqueries"
    /// \param on_frame  called for each reply frame, in order
    /// \param on_end    called exactly once, from the event loop, unless the stream was reset here
    peer_stream open(const std::string& address, const std::string& topic, std::string body,
                     std::function<void(std::string)> on_frame, std::function<void(stream_end)> on_end);

    /// Withdraws a stream; nothing is called for it from then on.
    void reset(peer_stream stream);

    /// One request with one reply frame: `on_reply` gets the frame, or how the stream ended without one.
    void call(const std::string& address, const std::string& topic, std::string body, duration timeout,
              std::function<void(stream_end, std::string)> on_reply);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// The answering side of one stream. Frames sent after the peer has withdrawn it are dropped.
class peer_responder {
public:
    virtual ~peer_responder() = default;
    virtual void send(std::string frame) = 0;
    virtual void finish() = 0;
    /// `on_gone` is called once if the peer withdraws the stream or is lost before finish().
    virtual void on_withdrawn(std::function<void()> on_gone) = 0;
};

class peer_server {
public:
    using handler = std::function<void(std::string body, std::shared_ptr<peer_responder> responder)>;

    peer_server(event_loop& loop, peer_limits limits);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Listens on ip:port; port 0 takes a free one. Returns the address in use.
    std::string listen(const std::string& address);

    void serve(const std::string& topic, handler on_request);

    /// Requests that were refused for their size, version, topic or form.
    [[nodiscard]] std::uint64_t rejected() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
