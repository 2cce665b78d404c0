// One HTTP/2 connection between two nodes: the socket, the nghttp2 session, and the bytes between them. Which
// side opens streams, and what they mean, is decided by the client and the server that derive from it.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>

#include <nghttp2/nghttp2.h>

#include <memory>
#include <string>
#include <vector>

namespace skylarkseam {

/// The version of the messages between nodes; a peer that names another one is refused.
inline constexpr std::string_view peer_protocol_version = "1";
inline constexpr std::string_view peer_protocol_header = "x-skylarkseam-protocol";

/// Outgoing bytes of one stream, which nghttp2 takes as its flow control allows.
struct stream_output {
    std::string bytes;
    std::size_t taken = 0;
    bool finished = false; ///< nothing will be added
    bool deferred = false; ///< nghttp2 waits for nghttp2_session_resume_data
};

/// Splits a stream's bytes into frames that are each preceded by their length (32 bits, big-endian).
class frame_reader {
public:
    explicit frame_reader(std::size_t limit)
        : limit_(limit) {}

    /// Appends the complete frames to `frames`; false where a frame is over the limit.
    [[nodiscard]] bool take(const char* data, std::size_t size, std::vector<std::string>& frames);
    [[nodiscard]] bool empty() const { return buffer_.empty(); }

private:
    std::size_t limit_;
    std::string buffer_;
};

/// Appends a frame and its length to a stream's output.
void append_frame(const std::string& frame, std::string& into);

class peer_link {
public:
    enum class side { client, server };

    peer_link(event_loop& loop, int fd, side which, bool connected, std::uint32_t max_streams);
    virtual ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Writes what nghttp2 has to send once the current callbacks have returned.
    void flush_soon();

    [[nodiscard]] bool connected() const { return connected_; }
    [[nodiscard]] bool closed() const { return closed_; }
    [[nodiscard]] time_point last_received() const { return last_received_; }
    [[nodiscard]] nghttp2_session* session() const { return session_; }

    void ping();
    /// Closes the socket and reports it by on_closed(), once.
    void close(const std::string& reason);

protected:
    virtual void on_begin_headers(std::int32_t stream) = 0;
    virtual void on_header(std::int32_t stream, std::string name, std::string value) = 0;
    virtual void on_data(std::int32_t stream, const char* data, std::size_t size) = 0;
    virtual void on_end_of_stream(std::int32_t stream) = 0;
    virtual void on_request_sent(std::int32_t stream) = 0;
    virtual void on_stream_closed(std::int32_t stream, std::uint32_t error_code) = 0;
    virtual void on_closed(const std::string& reason) = 0;

    event_loop& loop_;

private:
    void start_session(side which, std::uint32_t max_streams);
    void on_ready(readiness ready);
    void finish_connect();
    void read_some();
    void flush();
    void update_interest();

    friend struct link_callbacks;

    int fd_;
    bool connected_;
    bool closed_ = false;
    bool flush_posted_ = false;
    bool wants_write_ = false;
    nghttp2_session* session_ = nullptr;
    std::string pending_; ///< serialized bytes that the socket has not taken yet
    time_point last_received_;
    // Outlives the link inside posted tasks, which then do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// A data provider that takes the bytes of `output`, which must outlive the stream.
nghttp2_data_provider provider_of(stream_output& output);

} // namespace skylarkseam
