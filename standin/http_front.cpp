#include "standin/http_front.hpp"

#include <microhttpd.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <netinet/in.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace skylarkseam::standin {
namespace {

constexpr unsigned most_connections = 20'000;
constexpr unsigned listen_backlog = 1024;

/// One request between its first bytes and the end of its answer.
struct exchange {
    MHD_Connection* connection = nullptr; ///< null once the connection is done with the request
    front_request request;
    front_response response;
    bool dispatched = false;
    bool answered = false;
    bool suspended = false;
};

struct connection_note {
    int fd = -1;
    bool used = false;
};

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return text;
}

/// Keeps libmicrohttpd from decoding the path, whose segments may hold an encoded slash.
size_t keep_encoded(void* /*unused*/, MHD_Connection* /*connection*/, char* text) {
    return std::string_view(text).size();
}

std::string decoded(std::string text) {
    text.resize(MHD_http_unescape(text.data()));
    return text;
}

std::vector<std::string> split_path(const std::string& path) {
    std::vector<std::string> segments;
    std::size_t begin = 1;
    while (begin < path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        segments.push_back(decoded(path.substr(begin, end - begin)));
        begin = end + 1;
    }
    return segments;
}

MHD_Result collect(void* target, MHD_ValueKind kind, const char* key, const char* value) {
    std::string text = value == nullptr ? "" : value;
    const bool header = kind == MHD_HEADER_KIND;
    std::string name = header ? lower_case(key) : decoded(key);
    (*static_cast<text_map*>(target))[std::move(name)] = header ? text : decoded(std::move(text));
    return MHD_YES;
}

std::string value_or_empty(const text_map& map, std::string_view name) {
    const auto it = map.find(name);
    return it == map.end() ? std::string() : it->second;
}

} // namespace

std::string front_request::header(std::string_view name) const {
    return value_or_empty(headers, name);
}

std::string front_request::argument(std::string_view name) const {
    return value_or_empty(arguments, name);
}

front_response front_response::dropped() {
    front_response answer;
    answer.drop = true;
    return answer;
}

struct http_front::impl {
    http_loop& loop;
    front_options options;
    handler on_request;
    MHD_Daemon* daemon = nullptr;
    int epoll_fd = -1;
    std::uint16_t port = 0;
    std::set<int> connections; ///< descriptors of the open ones
    std::set<std::shared_ptr<exchange>> suspended;

    impl(http_loop& event_loop, front_options opts, handler callback)
        : loop(event_loop)
        , options(std::move(opts))
        , on_request(std::move(callback)) {}

    void start();
    void stop();
    bool run();
    MHD_Result on_upload(exchange& it, const char* data, std::size_t& size) const;
    MHD_Result dispatch(const std::shared_ptr<exchange>& it);
    void answer_later(const std::shared_ptr<exchange>& it, front_response response);

    // libmicrohttpd's callbacks.
    static MHD_Result accept(void* self, const sockaddr* address, socklen_t length);
    static void note_connection(void* self, MHD_Connection* connection, void** note,
                                MHD_ConnectionNotificationCode code);
    static MHD_Result access(void* self, MHD_Connection* connection, const char* url, const char* method,
                             const char* version, const char* data, size_t* size, void** context);
    static void complete(void* self, MHD_Connection* connection, void** context,
                         MHD_RequestTerminationCode code);
};

namespace {

MHD_Result send_response(MHD_Connection* connection, front_response& response) {
    if (response.drop) {
        return MHD_NO;
    }
    MHD_Response* out =
        MHD_create_response_from_buffer(response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(out, "Content-Type", "application/json");
    for (const auto& [name, value] : response.headers) {
        MHD_add_response_header(out, name.c_str(), value.c_str());
    }
    const auto sent = MHD_queue_response(connection, static_cast<unsigned>(response.status), out);
    MHD_destroy_response(out);
    return sent;
}

std::shared_ptr<exchange> open_exchange(MHD_Connection* connection, const char* url, const char* method) {
    auto it = std::make_shared<exchange>();
    it->connection = connection;
    it->request.method = method;
    it->request.segments = split_path(url);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collect, &it->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collect, &it->request.arguments);
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    auto* note = static_cast<connection_note*>(info->socket_context);
    it->request.first_on_connection = !std::exchange(note->used, true);
    return it;
}

} // namespace

MHD_Result http_front::impl::accept(void* self, const sockaddr* /*address*/, socklen_t /*length*/) {
    const auto& front = *static_cast<impl*>(self);
    const bool taken = !front.options.accepts_new || front.options.accepts_new();
    return taken ? MHD_YES : MHD_NO;
}

void http_front::impl::note_connection(void* self, MHD_Connection* connection, void** note,
                                       MHD_ConnectionNotificationCode code) {
    auto& front = *static_cast<impl*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *note = std::make_unique<connection_note>(connection_note{info->connect_fd}).release();
        front.connections.insert(info->connect_fd);
        return;
    }
    const std::unique_ptr<connection_note> closed(static_cast<connection_note*>(*note));
    *note = nullptr;
    front.connections.erase(closed->fd);
}

MHD_Result http_front::impl::access(void* self, MHD_Connection* connection, const char* url,
                                    const char* method, const char* /*version*/, const char* data,
                                    size_t* size, void** context) {
    auto& front = *static_cast<impl*>(self);
    if (*context == nullptr) {
        *context =
            std::make_unique<std::shared_ptr<exchange>>(open_exchange(connection, url, method)).release();
        return MHD_YES;
    }
    const auto it = *static_cast<std::shared_ptr<exchange>*>(*context);
    if (*size > 0) {
        return front.on_upload(*it, data, *size);
    }
    return it->answered ? send_response(connection, it->response) : front.dispatch(it);
}

void http_front::impl::complete(void* self, MHD_Connection* /*connection*/, void** context,
                                MHD_RequestTerminationCode /*code*/) {
    if (*context == nullptr) {
        return;
    }
    const std::unique_ptr<std::shared_ptr<exchange>> done(static_cast<std::shared_ptr<exchange>*>(*context));
    *context = nullptr;
    (*done)->connection = nullptr;
    static_cast<impl*>(self)->suspended.erase(*done);
}

MHD_Result http_front::impl::on_upload(exchange& it, const char* data, std::size_t& size) const {
    if (it.request.body.size() + size > options.body_bytes) {
        it.request.body_too_large = true;
    } else {
        it.request.body.append(data, size);
    }
    size = 0;
    return MHD_YES;
}

MHD_Result http_front::impl::dispatch(const std::shared_ptr<exchange>& it) {
    if (it->dispatched) {
        return MHD_YES;
    }
    it->dispatched = true;
    on_request(std::move(it->request),
               [this, it](front_response response) { answer_later(it, std::move(response)); });
    if (it->answered) {
        return send_response(it->connection, it->response);
    }
    it->suspended = true;
    suspended.insert(it);
    MHD_suspend_connection(it->connection);
    return MHD_YES;
}

void http_front::impl::answer_later(const std::shared_ptr<exchange>& it, front_response response) {
    if (it->connection == nullptr || it->answered) {
        return;
    }
    it->response = std::move(response);
    it->answered = true;
    if (it->suspended) {
        suspended.erase(it);
        MHD_resume_connection(it->connection);
        loop.wake(epoll_fd);
    }
}

void http_front::impl::start() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, accept, this, access, this,
                              MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT, most_connections,
                              MHD_OPTION_LISTEN_BACKLOG_SIZE, listen_backlog, MHD_OPTION_NOTIFY_CONNECTION,
                              note_connection, this, MHD_OPTION_NOTIFY_COMPLETED, complete, this,
                              MHD_OPTION_UNESCAPE_CALLBACK, keep_encoded, nullptr, MHD_OPTION_END);
    if (daemon == nullptr) {
        throw std::runtime_error("cannot listen on 127.0.0.1:" + std::to_string(options.port));
    }
    port = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    epoll_fd = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    loop.watch(epoll_fd, [this] { return run(); });
}

bool http_front::impl::run() {
    MHD_run(daemon);
    MHD_UNSIGNED_LONG_LONG wait = 0;
    return MHD_get_timeout(daemon, &wait) == MHD_YES && wait == 0;
}

void http_front::impl::stop() {
    loop.unwatch(epoll_fd);
    while (!suspended.empty()) {
        answer_later(*suspended.begin(), front_response::dropped());
    }
    MHD_run(daemon);
    MHD_stop_daemon(daemon);
}

http_front::http_front(http_loop& loop, front_options options, handler on_request)
    : impl_(std::make_unique<impl>(loop, std::move(options), std::move(on_request))) {
    impl_->start();
}

http_front::~http_front() {
    impl_->stop();
}

std::string http_front::address() const {
    return "127.0.0.1:" + std::to_string(impl_->port);
}

std::size_t http_front::connections() const {
    return impl_->connections.size();
}

void http_front::reset_connections() {
    for (const auto fd : impl_->connections) {
        shutdown(fd, SHUT_RDWR);
    }
}

} // namespace skylarkseam::standin
