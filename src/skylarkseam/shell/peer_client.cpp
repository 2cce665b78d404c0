#include <skylarkseam/shell/peer_link.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>

namespace skylarkseam {
namespace {

constexpr duration watch_interval = milliseconds(500);
constexpr duration connect_timeout = seconds(1);
constexpr duration ping_after = seconds(1);   ///< silence on a connection with open streams
constexpr duration silent_after = seconds(3); ///< silence after which its streams are given up
constexpr const char* silent_fault = "the peer is silent";
constexpr duration reconnect_interval = milliseconds(100);

struct client_stream {
    peer_stream id = 0;
    std::string address;
    std::int32_t wire_id = 0;
    stream_output output;
    frame_reader reader;
    std::string status;
    bool sent = false;
    bool over_limit = false;
    std::function<void(std::string)> on_frame;
    std::function<void(stream_end)> on_end;

    explicit client_stream(std::size_t limit)
        : reader(limit) {}
};

nghttp2_nv header_of(std::string_view name, std::string_view value) {
    nghttp2_nv nv{};
    nv.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    nv.namelen = name.size();
    nv.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    nv.valuelen = value.size();
    nv.flags = NGHTTP2_NV_FLAG_NONE;
    return nv;
}

/// The opening side of one connection.
class client_link : public peer_link {
public:
    using lost = std::function<void(client_link*, const std::string&)>;

    client_link(event_loop& loop, int fd, std::uint32_t max_streams, lost on_lost)
        : peer_link(loop, fd, side::client, false, max_streams)
        , started_(loop.now())
        , on_lost_(std::move(on_lost)) {}

    bool submit(const std::shared_ptr<client_stream>& stream, const std::string& topic) {
        const std::string path = "/" + topic;
        const std::array headers{
            header_of(":method", "POST"),
            header_of(":scheme", "http"),
            header_of(":authority", stream->address),
            header_of(":path", path),
            header_of(peer_protocol_header, peer_protocol_version),
        };
        auto provider = provider_of(stream->output);
        const auto id =
            nghttp2_submit_request(session(), nullptr, headers.data(), headers.size(), &provider, nullptr);
        if (id < 0) {
            return false;
        }
        stream->wire_id = id;
        waiting_since_ = streams_.empty() ? loop_.now() : waiting_since_;
        streams_[id] = stream;
        flush_soon();
        return true;
    }

    void withdraw(std::int32_t wire_id) {
        const auto it = streams_.find(wire_id);
        if (it == streams_.end()) {
            return;
        }
        it->second->on_end = nullptr;
        it->second->on_frame = nullptr;
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, wire_id, NGHTTP2_CANCEL);
        flush_soon();
    }

    /// Gives up a connection that does not come about, or that has gone silent under open streams.
    void check(time_point now) {
        if (!connected()) {
            if (now - started_ > connect_timeout) {
                close("connecting timed out");
            }
            return;
        }
        if (streams_.empty()) {
            return;
        }
        // A connection without open streams is silent by itself.
        const auto silence = now - std::max(last_received(), waiting_since_);
        if (silence > silent_after) {
            close(silent_fault);
        } else if (silence > ping_after) {
            ping();
        }
    }

    /// Handles a call that was made at `began` and has timed out.
    void note_timeout(time_point began) { unanswered_since_ = began; }
    /// Whether nothing has come since a call that has timed out was made.
    [[nodiscard]] bool unanswered() const {
        return unanswered_since_ && last_received() <= *unanswered_since_;
    }

protected:
    void on_begin_headers(std::int32_t) override {}

    void on_header(std::int32_t stream, std::string name, std::string value) override {
        const auto it = streams_.find(stream);
        if (it != streams_.end() && name == ":status") {
            it->second->status = std::move(value);
        }
    }

    void on_data(std::int32_t stream, const char* data, std::size_t size) override {
        const auto it = streams_.find(stream);
        if (it == streams_.end() || !it->second->on_frame) {
            return;
        }
        const auto kept = it->second;
        std::vector<std::string> frames;
        if (!kept->reader.take(data, size, frames)) {
            kept->over_limit = true;
            nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_ENHANCE_YOUR_CALM);
        }
        for (auto& frame : frames) {
            if (kept->on_frame) {
                kept->on_frame(std::move(frame));
            }
        }
    }

    void on_end_of_stream(std::int32_t) override {}

    void on_request_sent(std::int32_t stream) override {
        const auto it = streams_.find(stream);
        if (it != streams_.end()) {
            it->second->sent = true;
        }
    }

    void on_stream_closed(std::int32_t stream, std::uint32_t error_code) override {
        const auto it = streams_.find(stream);
        if (it == streams_.end()) {
            return;
        }
        const auto kept = std::move(it->second);
        streams_.erase(it);
        stream_end end;
        end.complete = error_code == NGHTTP2_NO_ERROR && kept->status == "200" && kept->reader.empty();
        // A stream that the peer refused before it looked at the request is as good as not sent.
        end.sent = kept->sent && error_code != NGHTTP2_REFUSED_STREAM;
        end.detail = detail_of(*kept, error_code);
        end.answered = !kept->status.empty();
        finish(*kept, std::move(end));
    }

    void on_closed(const std::string& reason) override {
        auto streams = std::move(streams_);
        streams_.clear();
        on_lost_(this, reason);
        for (auto& [id, it] : streams) {
            finish(*it, {false, it->sent, reason, !it->status.empty()});
        }
    }

private:
    static std::string detail_of(const client_stream& stream, std::uint32_t error_code) {
        if (stream.over_limit) {
            return "the peer sent a frame over the limit";
        }
        if (error_code != NGHTTP2_NO_ERROR) {
            return std::string("the stream was reset: ") + nghttp2_http2_strerror(error_code);
        }
        return stream.status == "200" ? std::string() : "the peer answered " + stream.status;
    }

    static void finish(client_stream& stream, stream_end end) {
        stream.on_frame = nullptr;
        if (const auto on_end = std::move(stream.on_end)) {
            on_end(std::move(end));
        }
    }

    std::unordered_map<std::int32_t, std::shared_ptr<client_stream>> streams_;
    time_point started_;
    time_point waiting_since_{}; ///< Since when streams are open
    std::optional<time_point> unanswered_since_;
    lost on_lost_;
};

} // namespace

struct peer_client::impl {
    struct target {
        std::shared_ptr<client_link> link;
        time_point next_attempt{};
        std::string last_fault;
    };

    event_loop& loop;
    peer_limits limits;
    std::map<std::string, target, std::less<>> targets;
    std::unordered_map<peer_stream, std::weak_ptr<client_stream>> streams;
    peer_stream last_stream = 0;
    timer_id timer = -1;

    impl(event_loop& event_loop, peer_limits peer_limits)
        : loop(event_loop)
        , limits(peer_limits) {
        watch_links();
    }

    ~impl() { loop.cancel(timer); }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void watch_links() {
        timer = loop.run_after(watch_interval, [this] {
            for (auto& [address, it] : targets) {
                if (it.link) {
                    it.link->check(loop.now());
                }
            }
            watch_links();
        });
    }

    /// The connection to a peer, started where there is none; null where none can be started now.
    client_link* link_to(const std::string& address) {
        auto& to = targets[address];
        if (to.link && !to.link->closed() && to.link->unanswered()) {
            to.link->close(silent_fault);
        }
        if (to.link && !to.link->closed()) {
            return to.link.get();
        }
        if (loop.now() < to.next_attempt) {
            return nullptr;
        }
        to.next_attempt = loop.now() + reconnect_interval;
        const int fd = start_connection(address);
        if (fd < 0) {
            to.last_fault = "cannot connect to " + address;
            return nullptr;
        }
        to.link = std::make_shared<client_link>(
            loop, fd, limits.streams, [this, address](const client_link* link, const std::string& reason) {
                drop(address, link, reason);
            });
        return to.link.get();
    }

    void drop(const std::string& address, const client_link* link, const std::string& reason) {
        auto& to = targets[address];
        to.last_fault = reason;
        if (to.link.get() == link) {
            // Freed later: the link is still reporting its end.
            loop.post([kept = std::move(to.link)] {});
            to.link = nullptr;
        }
    }

    void forget(peer_stream id) { streams.erase(id); }
};

peer_client::peer_client(event_loop& loop, peer_limits limits)
    : impl_(std::make_unique<impl>(loop, limits)) {}

peer_client::~peer_client() = default;

peer_stream peer_client::open(const std::string& address, const std::string& topic, std::string body,
                              std::function<void(std::string)> on_frame,
                              std::function<void(stream_end)> on_end) {
    const auto id = ++impl_->last_stream;
    auto stream = std::make_shared<client_stream>(impl_->limits.frame_bytes);
    stream->id = id;
    stream->address = address;
    stream->output.bytes = std::move(body);
    stream->output.finished = true;
    stream->on_frame = std::move(on_frame);
    stream->on_end = [self = impl_.get(), id, on_end = std::move(on_end)](stream_end end) {
        self->forget(id);
        on_end(std::move(end));
    };
    auto* const link = impl_->link_to(address);
    if (link != nullptr && link->submit(stream, topic)) {
        impl_->streams[id] = stream;
        return id;
    }
    impl_->streams[id] = stream;
    impl_->loop.post([stream, fault = impl_->targets[address].last_fault] {
        if (const auto end = std::move(stream->on_end)) {
            end({false, false, fault});
        }
    });
    return id;
}

void peer_client::reset(peer_stream stream) {
    const auto it = impl_->streams.find(stream);
    if (it == impl_->streams.end()) {
        return;
    }
    const auto kept = it->second.lock();
    impl_->streams.erase(it);
    if (!kept) {
        return;
    }
    kept->on_end = nullptr;
    kept->on_frame = nullptr;
    const auto to = impl_->targets.find(kept->address);
    if (to != impl_->targets.end() && to->second.link) {
        to->second.link->withdraw(kept->wire_id);
    }
}

void peer_client::call(const std::string& address, const std::string& topic, std::string body,
                       duration timeout, std::function<void(stream_end, std::string)> on_reply) {
    struct call_state {
        std::string frame;
        timer_id timer = -1;
        peer_stream stream = 0;
        std::function<void(stream_end, std::string)> on_reply;
    };
    auto state = std::make_shared<call_state>();
    state->on_reply = std::move(on_reply);
    auto* const loop = &impl_->loop;
    state->stream = open(
        address, topic, std::move(body), [state](std::string frame) { state->frame = std::move(frame); },
        [state, loop](stream_end end) {
            loop->cancel(state->timer);
            state->on_reply(std::move(end), std::move(state->frame));
        });
    state->timer = loop->run_after(timeout, [this, state, address, began = loop->now()] {
        reset(state->stream);
        const auto to = impl_->targets.find(address);
        if (to != impl_->targets.end() && to->second.link) {
            to->second.link->note_timeout(began);
        }
        state->on_reply({false, true, "the call timed out", false}, {});
    });
}

} // namespace skylarkseam
