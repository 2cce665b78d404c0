#include <skylarkseam/shell/peer_link.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <map>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

namespace skylarkseam {
namespace {

class server_link;

/// One request of a peer, and the answer to it. Kept alive by the link and by whoever answers.
class server_stream : public peer_responder {
public:
    server_stream(server_link* link, std::int32_t wire_id)
        : link_(link)
        , wire_id_(wire_id) {}

    void send(std::string frame) override;
    void finish() override;
    void on_withdrawn(std::function<void()> on_gone) override { on_gone_ = std::move(on_gone); }

    /// The peer has gone, or the stream is closed.
    void detach() {
        link_ = nullptr;
        if (const auto on_gone = std::move(on_gone_); on_gone && !output.finished) {
            on_gone();
        }
    }

    std::string path;
    std::string version;
    std::string body;
    stream_output output;
    bool answered = false; ///< a status has been submitted

private:
    void resume();

    server_link* link_;
    std::int32_t wire_id_;
    std::function<void()> on_gone_;
};

/// What the links of one server share.
struct server_shared {
    event_loop& loop;
    peer_limits limits;
    std::map<std::string, peer_server::handler, std::less<>> handlers;
    std::uint64_t rejected = 0;
    std::unordered_map<server_link*, std::unique_ptr<server_link>> links;
};

class server_link : public peer_link {
public:
    server_link(server_shared& shared, int fd)
        : peer_link(shared.loop, fd, side::server, true, shared.limits.streams)
        , shared_(shared) {}

    ~server_link() override { detach_all(); }
    server_link(const server_link&) = delete;
    server_link& operator=(const server_link&) = delete;

    void resume(std::int32_t wire_id) {
        nghttp2_session_resume_data(session(), wire_id);
        flush_soon();
    }

protected:
    void on_begin_headers(std::int32_t stream) override {
        // A trailer begins headers too; the stream, whose answer may be on its way, stays.
        if (!streams_.contains(stream)) {
            streams_[stream] = std::make_shared<server_stream>(this, stream);
        }
    }

    void on_header(std::int32_t stream, std::string name, std::string value) override {
        const auto it = streams_.find(stream);
        if (it == streams_.end()) {
            return;
        }
        if (name == ":path") {
            it->second->path = std::move(value);
        } else if (name == peer_protocol_header) {
            it->second->version = std::move(value);
        }
    }

    void on_data(std::int32_t stream, const char* data, std::size_t size) override {
        const auto it = streams_.find(stream);
        if (it == streams_.end() || it->second->answered) {
            return;
        }
        auto& body = it->second->body;
        if (body.size() + size > shared_.limits.request_bytes) {
            reject(stream, *it->second, "413");
            return;
        }
        body.append(data, size);
    }

    void on_end_of_stream(std::int32_t stream) override {
        const auto it = streams_.find(stream);
        if (it == streams_.end() || it->second->answered) {
            return;
        }
        const auto kept = it->second;
        if (kept->version != peer_protocol_version) {
            reject(stream, *kept, "505");
            return;
        }
        const bool has_path = !kept->path.empty(); // CONNECT has none
        const auto handler =
            has_path ? shared_.handlers.find(std::string_view(kept->path).substr(1)) : shared_.handlers.end();
        if (handler == shared_.handlers.end()) {
            reject(stream, *kept, "404");
            return;
        }
        respond(stream, *kept, "200");
        handler->second(std::move(kept->body), kept);
    }

    void on_request_sent(std::int32_t) override {}

    void on_stream_closed(std::int32_t stream, std::uint32_t) override {
        const auto it = streams_.find(stream);
        if (it == streams_.end()) {
            return;
        }
        const auto kept = std::move(it->second);
        streams_.erase(it);
        kept->detach();
    }

    void on_closed(const std::string&) override {
        detach_all();
        // Freed after this callback, which is running inside the link.
        const auto it = shared_.links.find(this);
        if (it != shared_.links.end()) {
            shared_.loop.post([kept = std::shared_ptr<server_link>(std::move(it->second))] {});
            shared_.links.erase(it);
        }
    }

private:
    void respond(std::int32_t stream, server_stream& to, const std::string& status) {
        to.answered = true;
        const std::string name = ":status";
        nghttp2_nv header{};
        header.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
        header.namelen = name.size();
        header.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(status.data()));
        header.valuelen = status.size();
        auto provider = provider_of(to.output);
        nghttp2_submit_response(session(), stream, &header, 1, &provider);
        flush_soon();
    }

    void reject(std::int32_t stream, server_stream& to, const std::string& status) {
        ++shared_.rejected;
        to.output.finished = true;
        respond(stream, to, status);
    }

    void detach_all() {
        auto streams = std::move(streams_);
        streams_.clear();
        for (auto& [id, it] : streams) {
            it->detach();
        }
    }

    server_shared& shared_;
    std::unordered_map<std::int32_t, std::shared_ptr<server_stream>> streams_;
};

void server_stream::send(std::string frame) {
    if (link_ == nullptr || output.finished) {
        return;
    }
    append_frame(frame, output.bytes);
    resume();
}

void server_stream::finish() {
    if (link_ == nullptr || output.finished) {
        return;
    }
    output.finished = true;
    resume();
}

void server_stream::resume() {
    if (output.deferred) {
        output.deferred = false;
        link_->resume(wire_id_);
    } else {
        link_->flush_soon();
    }
}

} // namespace

struct peer_server::impl {
    server_shared shared;
    int fd = -1;

    impl(event_loop& loop, peer_limits limits)
        : shared{loop, limits, {}, 0, {}} {}

    ~impl() {
        if (fd >= 0) {
            shared.loop.unwatch(fd);
            ::close(fd);
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void accept_some() {
        while (true) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            if (shared.links.size() >= shared.limits.connections) {
                ++shared.rejected;
                ::close(accepted);
                continue;
            }
            disable_send_delay(accepted);
            auto link = std::make_unique<server_link>(shared, accepted);
            auto* const raw = link.get();
            shared.links[raw] = std::move(link);
        }
    }
};

peer_server::peer_server(event_loop& loop, peer_limits limits)
    : impl_(std::make_unique<impl>(loop, limits)) {}

peer_server::~peer_server() = default;

std::string peer_server::listen(const std::string& address) {
    impl_->fd = open_listener(address);
    impl_->shared.loop.watch(impl_->fd, {true, false},
                             [self = impl_.get()](readiness) { self->accept_some(); });
    return bound_address(impl_->fd);
}

void peer_server::serve(const std::string& topic, handler on_request) {
    impl_->shared.handlers[topic] = std::move(on_request);
}

std::uint64_t peer_server::rejected() const {
    return impl_->shared.rejected;
}

} // namespace skylarkseam
