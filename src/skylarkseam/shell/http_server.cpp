#include <skylarkseam/shell/http_exchange.hpp>
#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>

namespace skylarkseam {
namespace {

constexpr unsigned first_request_timeout_s = 60; ///< of a new connection, until its first request
constexpr duration reading_check_interval = milliseconds(250);
constexpr duration gone_check_interval =
    milliseconds(100);                  ///< an upstream stops within 0.5 s of a client's leaving
constexpr int client_gone_status = 502; ///< reaches nobody
/// Written beside the library, which answers nothing before the headers are complete. Nothing has run.
constexpr std::string_view header_timeout_answer =
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

} // namespace

struct http_server::impl {
    event_loop& loop;
    http_limits limits;
    handler on_request;
    gone_handler on_gone;
    std::uint64_t last_id = 0;
    timer_id gone_timer = -1;
    MHD_Daemon* daemon = nullptr;
    int epoll_fd = -1;
    timer_id timer = -1;
    bool run_posted = false;
    std::uint64_t rejected = 0;
    std::size_t held = 0; ///< bytes of all exchanges
    /// The request in progress on each connection. The library frees a connection, at times without a word on
    /// its request, only after it has been removed from here.
    std::unordered_map<MHD_Connection*, std::shared_ptr<http_exchange>> current;
    // Subsets of `current`.
    std::unordered_set<std::shared_ptr<http_exchange>> exchanges; ///< accepted, and not ended
    std::unordered_set<std::shared_ptr<http_exchange>> reading;   ///< whose headers are not complete
    timer_id reading_timer = -1;

    impl(event_loop& event_loop, http_limits http_limits, handler request_handler, gone_handler on_leave)
        : loop(event_loop)
        , limits(http_limits)
        , on_request(std::move(request_handler))
        , on_gone(std::move(on_leave)) {}

    ~impl() {
        for (const auto& it : exchanges) {
            it->alive = false;
            if (it->suspended) {
                MHD_resume_connection(it->connection);
            }
        }
        if (daemon != nullptr) {
            loop.unwatch(epoll_fd);
            MHD_stop_daemon(daemon);
        }
        for (const auto id : {timer, gone_timer, reading_timer}) {
            if (id >= 0) {
                loop.cancel(id);
            }
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    static void* on_uri(void* user, const char* uri, MHD_Connection* connection) {
        auto* const self = static_cast<impl*>(user);
        self->end(connection);
        auto it = std::make_shared<http_exchange>();
        it->connection = connection;
        it->began = self->loop.now();
        it->request.target = uri;
        it->request.path = it->request.target.substr(0, it->request.target.find('?'));
        keep_arguments_from_library(uri);
        self->reading.insert(it);
        self->current[connection] = std::move(it);
        self->watch_reading();
        return nullptr;
    }

    static MHD_Result on_access(void* user, MHD_Connection* connection, const char*, const char* method,
                                const char*, const char* data, std::size_t* size, void**) {
        auto* const self = static_cast<impl*>(user);
        const auto it = self->current.at(connection);
        if (!it->begun) {
            it->begun = true;
            self->begin(it, method);
            return MHD_YES;
        }
        if (*size > 0) {
            self->take_body(it, data, *size);
            *size = 0;
            return MHD_YES;
        }
        if (it->response) {
            return self->queue(it, connection);
        }
        return self->hand_over(it, connection);
    }

    static void on_completed(void* user, MHD_Connection* connection, void**, MHD_RequestTerminationCode) {
        static_cast<impl*>(user)->end(connection);
    }

    static void on_connection(void* user, MHD_Connection* connection, void**,
                              MHD_ConnectionNotificationCode code) {
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            static_cast<impl*>(user)->end(connection);
        }
    }

    /// Ends the request in progress on a connection, if there is one; nothing uses the connection afterwards.
    void end(MHD_Connection* connection) {
        const auto found = current.find(connection);
        if (found == current.end()) {
            return;
        }
        const auto it = std::move(found->second);
        current.erase(found);
        it->alive = false;
        held -= it->held;
        reading.erase(it);
        exchanges.erase(it);
    }

    void begin(const std::shared_ptr<http_exchange>& it, const char* method) {
        it->id = ++last_id;
        it->request.id = it->id;
        it->request.method = method;
        reading.erase(it);
        collect_fields(*it);
        it->answer_head_room = answer_head_room_of(*it, limits.header_bytes);
        it->request.round_trip = round_trip_of(socket_of(*it));
        set_idle_timeout(it->connection);
        if (it->answer_head_room < min_answer_head_room) {
            refuse(it, refusal(431, "header_fields_too_large",
                               "the request's head leaves no room for the head of an answer"));
            return;
        }
        if (exchanges.size() >= limits.open_requests) {
            refuse(it, refusal(503, "overloaded", "too many open requests"));
            return;
        }
        if (held >= limits.held_bytes) {
            refuse(it, refusal(503, "overloaded", "too many bytes of open requests"));
            return;
        }
        exchanges.insert(it);
    }

    void take_body(const std::shared_ptr<http_exchange>& it, const char* data, std::size_t size) {
        if (it->refused) {
            return;
        }
        if (it->request.body.size() + size > limits.body_bytes) {
            it->request.body.clear();
            refuse(it, refusal(413, "payload_too_large",
                               "the body is larger than " + std::to_string(limits.body_bytes) + " bytes"));
            return;
        }
        if (held + size > limits.held_bytes) {
            it->request.body.clear();
            refuse(it, refusal(503, "overloaded", "too many bytes of open requests"));
            return;
        }
        it->held += size;
        held += size;
        it->request.body.append(data, size);
    }

    void refuse(const std::shared_ptr<http_exchange>& it, outgoing_response response) {
        ++rejected;
        it->refused = true;
        it->response = std::move(response);
    }

    MHD_Result hand_over(const std::shared_ptr<http_exchange>& it, MHD_Connection* connection) {
        if (!it->handed_over) {
            it->handed_over = true;
            on_request(std::move(it->request),
                       [this, it](outgoing_response response) { answer(it, std::move(response)); });
        }
        if (it->response) {
            return queue(it, connection);
        }
        it->suspended = true;
        MHD_suspend_connection(connection);
        watch_for_gone();
        return MHD_YES;
    }

    /// The library bounds the pauses between bytes only, so that the time for all headers is watched here.
    void watch_reading() {
        if (reading_timer >= 0) {
            return;
        }
        reading_timer = loop.run_after(reading_check_interval, [this] {
            reading_timer = -1;
            end_slow_readings();
        });
    }

    void end_slow_readings() {
        std::vector<std::shared_ptr<http_exchange>> slow;
        for (const auto& it : reading) {
            if (loop.now() - it->began >= limits.header_timeout) {
                slow.push_back(it);
            }
        }
        for (const auto& it : slow) {
            ++rejected;
            reading.erase(it);
            const int fd = socket_of(*it);
            ::send(fd, header_timeout_answer.data(), header_timeout_answer.size(),
                   MSG_NOSIGNAL | MSG_DONTWAIT);
            ::shutdown(fd, SHUT_RDWR); // the library finds it closed and frees it
        }
        if (!reading.empty()) {
            watch_reading();
        }
    }

    void set_idle_timeout(MHD_Connection* connection) const {
        const auto whole_s = (limits.idle_timeout + seconds(1) - microseconds(1)) / seconds(1);
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, static_cast<unsigned>(whole_s));
    }

    /// The library does not look at a suspended connection, so that a client's leaving is looked for here.
    void watch_for_gone() {
        if (!on_gone || gone_timer >= 0) {
            return;
        }
        gone_timer = loop.run_after(gone_check_interval, [this] {
            gone_timer = -1;
            find_gone();
        });
    }

    void find_gone() {
        std::vector<std::shared_ptr<http_exchange>> gone;
        bool waiting = false;
        for (const auto& it : exchanges) {
            if (!it->suspended || it->reported_gone) {
                continue;
            }
            waiting = true;
            char byte = 0;
            const auto n = ::recv(socket_of(*it), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
                gone.push_back(it);
            }
        }
        for (const auto& it : gone) {
            it->reported_gone = true;
            on_gone(it->id);
            // Resumed so that the library finds the connection closed and frees it.
            answer(it, refusal(client_gone_status, "client_gone", "the client closed its connection"));
        }
        if (waiting) {
            watch_for_gone();
        }
    }

    void answer(const std::shared_ptr<http_exchange>& it, outgoing_response response) {
        if (!it->alive || it->response) {
            return;
        }
        it->held += response.body.size();
        held += response.body.size();
        it->response = std::move(response);
        if (it->suspended) {
            it->suspended = false;
            MHD_resume_connection(it->connection);
            run_soon();
        }
    }

    static MHD_Result queue(const std::shared_ptr<http_exchange>& it, MHD_Connection* connection) {
        if (!it->refused && head_size_of(*it->response) > it->answer_head_room) {
            log_event(log_level::warning, "answer_head_too_large",
                      {{"bytes", head_size_of(*it->response)},
                       {"room", it->answer_head_room},
                       {"status", static_cast<std::uint64_t>(it->response->status)}});
            it->response = head_too_large_answer();
        }
        auto& response = *it->response;
        auto* const body = MHD_create_response_from_buffer(response.body.size(), response.body.data(),
                                                           MHD_RESPMEM_MUST_COPY);
        if (!response.content_type.empty()) {
            MHD_add_response_header(body, "Content-Type", response.content_type.c_str());
        }
        if (response.close) {
            MHD_add_response_header(body, "Connection", "close");
        }
        for (const auto& header : response.headers) {
            MHD_add_response_header(body, header.name.c_str(), header.value.c_str());
        }
        const auto done = MHD_queue_response(connection, static_cast<unsigned>(response.status), body);
        MHD_destroy_response(body);
        return done;
    }

    void run_soon() {
        if (run_posted) {
            return;
        }
        run_posted = true;
        loop.post([this] {
            run_posted = false;
            run();
        });
    }

    void run() {
        MHD_run(daemon);
        if (timer >= 0) {
            loop.cancel(timer);
            timer = -1;
        }
        MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
        if (MHD_get_timeout(daemon, &timeout_ms) != MHD_YES) {
            return;
        }
        timer = loop.run_after(milliseconds(static_cast<std::int64_t>(timeout_ms)), [this] {
            timer = -1;
            run();
        });
    }
};

http_server::http_server(event_loop& loop, http_limits limits, handler on_request, gone_handler on_gone)
    : impl_(std::make_unique<impl>(loop, limits, std::move(on_request), std::move(on_gone))) {}

http_server::~http_server() = default;

std::string http_server::listen(const std::string& address) {
    const int fd = open_listener(address);
    impl_->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &impl::on_access, impl_.get(),
        MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK, &impl::on_uri, impl_.get(),
        MHD_OPTION_NOTIFY_COMPLETED, &impl::on_completed, impl_.get(), MHD_OPTION_NOTIFY_CONNECTION,
        &impl::on_connection, impl_.get(), MHD_OPTION_CONNECTION_LIMIT, impl_->limits.connections,
        MHD_OPTION_CONNECTION_TIMEOUT, first_request_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        impl_->limits.header_bytes, MHD_OPTION_END);
    if (impl_->daemon == nullptr) {
        throw std::runtime_error("the HTTP server could not start on " + address);
    }
    const auto* const info = MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    impl_->epoll_fd = info->listen_fd;
    impl_->loop.watch(impl_->epoll_fd, {true, false}, [self = impl_.get()](readiness) { self->run(); });
    return bound_address(fd);
}

void http_server::stop_listening() {
    const int fd = impl_->daemon == nullptr ? -1 : MHD_quiesce_daemon(impl_->daemon);
    if (fd >= 0) {
        ::close(fd);
    }
}

void http_server::set_client_limits(std::size_t body_bytes, duration header_timeout, duration idle_timeout) {
    impl_->limits.body_bytes = body_bytes;
    impl_->limits.header_timeout = header_timeout;
    impl_->limits.idle_timeout = idle_timeout;
}

std::uint64_t http_server::rejected() const {
    return impl_->rejected;
}

std::size_t http_server::open_requests() const {
    return impl_->exchanges.size();
}

} // namespace skylarkseam
