#include <skylarkseam/shell/socket_address.hpp>
#include <skylarkseam/shell/upstream_connection.hpp>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkseam {
namespace {

constexpr std::size_t read_bytes = 16U << 10U;
constexpr duration idle_margin = milliseconds(400); ///< before the time that the searcher states
constexpr duration idle_unstated = seconds(30);     ///< where it states none; a close is noticed anyway
constexpr int unacknowledged_timeout_ms = 1500; ///< sent data; a silent host is given up after about so long
constexpr int keep_alive_idle_s = 10;
constexpr int keep_alive_probes = 2;

enum class connection_state {
    connecting,
    settling, ///< open, and watched for a reset before the first request is sent
    idle,
    busy,
    closed,
};

/// The seconds of "timeout=N" in a Keep-Alive header.
std::optional<duration> stated_timeout(const std::string& value) {
    const auto at = value.find("timeout=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const char* const begin = value.data() + at + std::strlen("timeout=");
    int count = 0;
    const auto parsed = std::from_chars(begin, value.data() + value.size(), count);
    if (parsed.ec != std::errc{} || count < 0) {
        return std::nullopt;
    }
    return seconds(count);
}

/// A silent peer is given up too, but its process may run.
connection_fault fault_of(int error) {
    return error == ECONNRESET || error == EPIPE ? connection_fault::lost : connection_fault::other;
}

} // namespace

struct upstream_connection::impl {
    event_loop& loop;
    handlers callbacks;
    int fd = -1;
    connection_state state = connection_state::connecting;
    time_point opened_at{};
    std::optional<duration> connect_time;
    bool watching_writes = true;
    bool has_request = false;
    bool sent = false;
    upstream_request request;
    std::size_t written = 0; ///< of the request's bytes
    /// An error of the connection was reported to send(), so that recv() cannot tell an end in order from it.
    bool send_failed = false;
    response_reader reader;
    time_point idle_until{};
    duration settle_time;
    timer_id settle_timer = -1;

    impl(event_loop& event_loop, std::size_t limit, handlers functions, duration settle,
         answer_memory* memory)
        : loop(event_loop)
        , callbacks(std::move(functions))
        , reader(limit, memory)
        , settle_time(settle) {}

    ~impl() { shut(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void open(const std::string& address) {
        opened_at = loop.now();
        fd = start_connection(address);
        if (fd < 0) {
            const int error = errno;
            loop.post([this, alive = std::weak_ptr<bool>(alive), error] {
                if (alive.lock()) {
                    fail_to_connect(error);
                }
            });
            return;
        }
        limit_silence(fd, unacknowledged_timeout_ms, keep_alive_idle_s, keep_alive_probes);
        watch(true);
    }

    void watch(bool writes) {
        watching_writes = writes;
        loop.watch(fd, {true, writes}, [this](readiness ready) { on_ready(ready); });
    }

    void on_ready(readiness ready) {
        const std::weak_ptr<bool> still = alive;
        if (state == connection_state::connecting) {
            finish_connecting();
        }
        // Reading comes first: a failed send() takes a reset off the socket, and recv() then reports the
        // end of the connection as if it were in order.
        if (still.lock() && ready.readable && state != connection_state::closed &&
            state != connection_state::connecting) {
            read();
        }
        if (still.lock() && ready.writable && state == connection_state::busy) {
            write();
        }
    }

    void finish_connecting() {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            fail_to_connect(error);
            return;
        }
        sockaddr_in peer{};
        socklen_t peer_size = sizeof peer;
        if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) {
            return; // woken up before it is open
        }
        connect_time = loop.now() - opened_at;
        if (settle_time > duration::zero()) {
            state = connection_state::settling;
            watch(false);
            settle_timer = loop.run_after(settle_time, [this] {
                settle_timer = -1;
                use();
            });
            return;
        }
        use();
    }

    /// Sends the request that waits, once the connection is open.
    void use() {
        if (!has_request) {
            become_idle(idle_unstated);
            watch(false);
            return;
        }
        state = connection_state::busy;
        callbacks.on_sending();
        if (state == connection_state::busy) {
            write();
        }
    }

    [[nodiscard]] bool opening() const {
        return state == connection_state::connecting || state == connection_state::settling;
    }

    void write() {
        while (written < request.bytes.size()) {
            const auto n =
                ::send(fd, request.bytes.data() + written, request.bytes.size() - written, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                if (!watching_writes) {
                    watch(true);
                }
                return;
            }
            if (n < 0) {
                fail_to_send(errno);
                return;
            }
            sent = true;
            written += static_cast<std::size_t>(n);
        }
        if (watching_writes) {
            watch(false);
        }
    }

    /// The searcher may have answered before the connection ended. Nothing on it can be the answer if no byte
    /// of the request was sent.
    void fail_to_send(int error) {
        const std::weak_ptr<bool> still = alive;
        send_failed = true;
        if (sent) {
            read();
        }
        if (still.lock() && state == connection_state::busy) {
            fail(std::string("cannot send: ") + std::strerror(error), fault_of(error));
        }
    }

    void read() {
        std::array<char, read_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
        for (;;) {
            const auto n = ::recv(fd, buf.data(), buf.size(), 0);
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                return;
            }
            if (state == connection_state::idle) {
                abandon(); // closed by the searcher, or bytes that nobody asked for
                return;
            }
            if (n < 0) {
                fail(std::string("connection lost: ") + std::strerror(errno), fault_of(errno));
                return;
            }
            if (n == 0) {
                if (!send_failed) {
                    handle(reader.add_end(), connection_fault::lost);
                }
                return;
            }
            if (state == connection_state::settling) {
                fail("bytes on a new connection before any request");
                return;
            }
            if (!handle(reader.add({buf.data(), static_cast<std::size_t>(n)})) ||
                static_cast<std::size_t>(n) < buf.size()) {
                return;
            }
        }
    }

    /// Acts on what has been read; false once the response is complete or the connection is gone.
    bool handle(reading_state read_state, connection_fault fault = connection_fault::other) {
        switch (read_state) {
        case reading_state::incomplete:
            return true;
        case reading_state::complete:
            complete();
            return false;
        case reading_state::failed:
            fail(reader.fault(), fault);
            return false;
        }
        return false;
    }

    void complete() {
        upstream_result result;
        result.sent = true;
        result.connect_time = connect_time;
        result.searcher = request.searcher;
        const bool keep = reader.keeps_connection() && written == request.bytes.size();
        auto taken = reader.take();
        const auto* const echoed = taken.header(request.echo_header);
        if (echoed != nullptr && *echoed != request.echo_value) {
            fail("the answer belongs to request " + *echoed);
            return;
        }
        const auto* const stated = taken.header("Keep-Alive");
        const auto timeout = stated == nullptr ? std::nullopt : stated_timeout(*stated);
        result.response = std::move(taken);
        has_request = false;
        request.bytes.clear();
        written = 0;
        connect_time.reset();
        const std::weak_ptr<bool> still = alive;
        if (keep) {
            become_idle(timeout.value_or(idle_unstated));
        } else {
            shut();
        }
        const bool closed = state == connection_state::closed;
        auto on_result = callbacks.on_result;
        auto on_closed = callbacks.on_closed;
        if (closed) {
            on_closed();
        }
        on_result(std::move(result));
    }

    void become_idle(duration timeout) {
        state = connection_state::idle;
        idle_until = loop.now() + std::max(duration::zero(), timeout - idle_margin);
    }

    /// Ends an idle connection.
    void abandon() {
        shut();
        auto on_closed = callbacks.on_closed;
        on_closed();
    }

    void fail(const std::string& detail, connection_fault fault = connection_fault::other) {
        if (state == connection_state::closed) {
            return;
        }
        upstream_result result;
        result.sent = sent;
        result.connect_time = connect_time;
        result.detail = detail;
        result.fault = fault;
        const bool waiting = has_request;
        shut();
        auto on_result = callbacks.on_result;
        auto on_closed = callbacks.on_closed;
        on_closed();
        if (waiting) {
            on_result(std::move(result));
        }
    }

    void fail_to_connect(int error) {
        fail(std::string("cannot connect: ") + std::strerror(error),
             error == ECONNREFUSED ? connection_fault::refused : connection_fault::other);
    }

    void shut() {
        if (settle_timer >= 0) {
            loop.cancel(settle_timer);
            settle_timer = -1;
        }
        if (fd >= 0) {
            loop.unwatch(fd);
            ::close(fd);
            fd = -1;
        }
        state = connection_state::closed;
        has_request = false;
    }

    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

upstream_connection::upstream_connection(event_loop& loop, const std::string& address, std::size_t body_limit,
                                         handlers callbacks, duration settle_time, answer_memory* memory)
    : impl_(std::make_unique<impl>(loop, body_limit, std::move(callbacks), settle_time, memory)) {
    impl_->open(address);
}

upstream_connection::~upstream_connection() = default;

void upstream_connection::send(upstream_request request) {
    impl_->request = std::move(request);
    impl_->reader.reset(impl_->request.is_head);
    impl_->written = 0;
    impl_->sent = false;
    impl_->has_request = true;
    if (impl_->state == connection_state::idle) {
        impl_->state = connection_state::busy;
        impl_->write();
    }
}

bool upstream_connection::idle() const {
    return impl_->state == connection_state::idle || (impl_->opening() && !impl_->has_request);
}

bool upstream_connection::open() const {
    return impl_->state != connection_state::closed;
}

bool upstream_connection::usable(time_point now) const {
    return idle() && (impl_->opening() || now < impl_->idle_until);
}

void upstream_connection::close() {
    impl_->shut();
}

void upstream_connection::fail_if_connecting(const std::string& detail) {
    if (impl_->opening()) {
        impl_->fail(detail);
    }
}

} // namespace skylarkseam
