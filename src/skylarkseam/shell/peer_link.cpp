#include <skylarkseam/shell/peer_link.hpp>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkseam {
namespace {

constexpr std::size_t read_bytes = 256U << 10U;
constexpr std::size_t write_batch_bytes = 256U << 10U;
constexpr std::uint32_t stream_window_bytes = 8U << 20U;
constexpr std::int32_t connection_window_bytes = 64 << 20;
constexpr std::size_t length_bytes = 4;

ssize_t read_output(nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t length,
                    std::uint32_t* flags, nghttp2_data_source* source, void*) {
    auto* const output = static_cast<stream_output*>(source->ptr);
    const auto n = std::min(length, output->bytes.size() - output->taken);
    std::copy_n(output->bytes.data() + output->taken, n, buf);
    output->taken += n;
    if (output->taken == output->bytes.size()) {
        output->bytes.clear();
        output->taken = 0;
        if (output->finished) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        } else if (n == 0) {
            output->deferred = true;
            return NGHTTP2_ERR_DEFERRED;
        }
    }
    return static_cast<ssize_t>(n);
}

} // namespace

bool frame_reader::take(const char* data, std::size_t size, std::vector<std::string>& frames) {
    buffer_.append(data, size);
    std::size_t at = 0;
    while (buffer_.size() - at >= length_bytes) {
        std::uint32_t length = 0;
        for (std::size_t it = 0; it < length_bytes; ++it) {
            length = (length << 8U) | static_cast<unsigned char>(buffer_[at + it]);
        }
        if (length > limit_) {
            return false;
        }
        if (buffer_.size() - at - length_bytes < length) {
            break;
        }
        frames.push_back(buffer_.substr(at + length_bytes, length));
        at += length_bytes + length;
    }
    buffer_.erase(0, at);
    return true;
}

void append_frame(const std::string& frame, std::string& into) {
    const auto length = static_cast<std::uint32_t>(frame.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        into.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU));
    }
    into += frame;
}

nghttp2_data_provider provider_of(stream_output& output) {
    nghttp2_data_provider provider{};
    provider.source.ptr = &output;
    provider.read_callback = &read_output;
    return provider;
}

/// The functions that nghttp2 calls, each passed on to the link.
struct link_callbacks {
    static peer_link& of(void* user) { return *static_cast<peer_link*>(user); }

    static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        of(user).on_begin_headers(frame->hd.stream_id);
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user) {
        of(user).on_header(frame->hd.stream_id, std::string(reinterpret_cast<const char*>(name), name_size),
                           std::string(reinterpret_cast<const char*>(value), value_size));
        return 0;
    }

    static int data(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
                    std::size_t size, void* user) {
        of(user).on_data(stream, reinterpret_cast<const char*>(data), size);
        return 0;
    }

    static int frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        const bool carries = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carries && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            of(user).on_end_of_stream(frame->hd.stream_id);
        }
        return 0;
    }

    static int frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            of(user).on_request_sent(frame->hd.stream_id);
        }
        return 0;
    }

    static int stream_closed(nghttp2_session*, std::int32_t stream, std::uint32_t error_code, void* user) {
        of(user).on_stream_closed(stream, error_code);
        return 0;
    }
};

peer_link::peer_link(event_loop& loop, int fd, side which, bool connected, std::uint32_t max_streams)
    : loop_(loop)
    , fd_(fd)
    , connected_(connected)
    , last_received_(loop.now()) {
    start_session(which, max_streams);
    wants_write_ = !connected_;
    loop_.watch(fd_, {true, wants_write_}, [this](readiness ready) { on_ready(ready); });
    flush_soon();
}

peer_link::~peer_link() {
    *alive_ = false;
    if (!closed_) {
        loop_.unwatch(fd_);
        ::close(fd_);
    }
    nghttp2_session_del(session_);
}

void peer_link::start_session(side which, std::uint32_t max_streams) {
    nghttp2_session_callbacks* callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0) {
        throw std::runtime_error("no memory for an HTTP/2 session");
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &link_callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &link_callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &link_callbacks::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &link_callbacks::frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &link_callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &link_callbacks::stream_closed);
    const int ec = which == side::client ? nghttp2_session_client_new(&session_, callbacks, this)
                                         : nghttp2_session_server_new(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    if (ec != 0) {
        throw std::runtime_error("no HTTP/2 session");
    }
    const std::vector<nghttp2_settings_entry> settings{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window_bytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
}

void peer_link::flush_soon() {
    if (flush_posted_ || closed_) {
        return;
    }
    flush_posted_ = true;
    loop_.post([this, alive = alive_] {
        if (!*alive) {
            return;
        }
        flush_posted_ = false;
        flush();
    });
}

void peer_link::ping() {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flush_soon();
}

void peer_link::close(const std::string& reason) {
    if (closed_) {
        return;
    }
    closed_ = true;
    loop_.unwatch(fd_);
    ::close(fd_);
    // Not at once: the caller may be inside one of nghttp2's callbacks.
    loop_.post([this, alive = alive_, reason] {
        if (*alive) {
            on_closed(reason);
        }
    });
}

void peer_link::on_ready(readiness ready) {
    if (ready.writable) {
        finish_connect();
        flush();
    }
    if (ready.readable && !closed_) {
        read_some();
    }
}

void peer_link::finish_connect() {
    if (connected_ || closed_) {
        return;
    }
    int ec = 0;
    socklen_t size = sizeof ec;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &ec, &size);
    if (ec != 0) {
        close(std::string("cannot connect: ") + std::strerror(ec));
        return;
    }
    connected_ = true;
    last_received_ = loop_.now();
}

void peer_link::read_some() {
    static thread_local std::vector<std::uint8_t> buf(read_bytes);
    const auto n = ::recv(fd_, buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close(n == 0 ? "the peer closed the connection"
                     : std::string("receiving failed: ") + std::strerror(errno));
        return;
    }
    connected_ = true;
    last_received_ = loop_.now();
    if (nghttp2_session_mem_recv(session_, buf.data(), static_cast<std::size_t>(n)) < 0) {
        close("the peer broke the HTTP/2 protocol");
        return;
    }
    flush_soon();
}

void peer_link::flush() {
    if (closed_ || !connected_) {
        return;
    }
    while (true) {
        while (pending_.size() < write_batch_bytes) {
            const std::uint8_t* data = nullptr;
            const auto n = nghttp2_session_mem_send(session_, &data);
            if (n <= 0) {
                break;
            }
            pending_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
        }
        if (pending_.empty()) {
            break;
        }
        const auto n = ::send(fd_, pending_.data(), pending_.size(), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EINTR) {
            close(std::string("sending failed: ") + std::strerror(errno));
            return;
        }
        if (n <= 0) {
            break;
        }
        pending_.erase(0, static_cast<std::size_t>(n));
    }
    update_interest();
}

void peer_link::update_interest() {
    const bool wants = !pending_.empty();
    if (wants == wants_write_) {
        return;
    }
    wants_write_ = wants;
    loop_.watch(fd_, {true, wants}, [this](readiness ready) { on_ready(ready); });
}

} // namespace skylarkseam
