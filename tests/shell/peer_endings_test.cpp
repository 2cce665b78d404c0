// Requests to the server between nodes that end in unusual ways, from a client that speaks HTTP/2 and nothing
// more of the protocol: methods without a path, trailers after a request that was refused, and streams that
// are reset at each point. The server goes on and uses nothing of a stream that has ended.
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <boost/test/unit_test.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <tests/shell/loop_fixture.hpp>
#include <unistd.h>

using namespace skylarkseam;

namespace {

constexpr std::size_t request_bytes = 64;

/// A connection with the bytes of nghttp2's own client.
class raw_peer {
public:
    explicit raw_peer(const std::string& address)
        : fd_(start_connection(address)) {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &raw_peer::on_header);
        nghttp2_session_client_new(&session_, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
    }

    ~raw_peer() {
        nghttp2_session_del(session_);
        ::close(fd_);
    }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    std::int32_t request(const std::vector<std::pair<std::string, std::string>>& headers, std::string body,
                         bool trailers) {
        body_ = std::move(body);
        trailers_ = trailers;
        nghttp2_data_provider provider{};
        provider.source.ptr = this;
        provider.read_callback = &raw_peer::read_body;
        const auto list = to_list(headers);
        const bool with_body = !body_.empty() || trailers;
        return nghttp2_submit_request(session_, nullptr, list.data(), list.size(),
                                      with_body ? &provider : nullptr, nullptr);
    }

    void reset(std::int32_t stream) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    }

    void step() {
        const std::uint8_t* data = nullptr;
        for (auto n = nghttp2_session_mem_send(session_, &data); n > 0;
             n = nghttp2_session_mem_send(session_, &data)) {
            pending_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
        }
        const auto sent = ::send(fd_, pending_.data(), pending_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        pending_.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
        std::array<std::uint8_t, 4096> buf{};
        const auto n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0) {
            nghttp2_session_mem_recv(session_, buf.data(), static_cast<std::size_t>(n));
        }
    }

    std::vector<std::string> statuses; ///< In the order of the answers

private:
    static std::vector<nghttp2_nv> to_list(const std::vector<std::pair<std::string, std::string>>& headers) {
        std::vector<nghttp2_nv> out;
        out.reserve(headers.size());
        const auto bytes_of = [](const std::string& text) {
            return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
        };
        for (const auto& [name, value] : headers) {
            out.push_back({bytes_of(name), bytes_of(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
        }
        return out;
    }

    static ssize_t read_body(nghttp2_session* session, std::int32_t stream, std::uint8_t* buf,
                             std::size_t length, std::uint32_t* flags, nghttp2_data_source* source, void*) {
        auto& self = *static_cast<raw_peer*>(source->ptr);
        const auto n = std::min(length, self.body_.size());
        std::copy_n(self.body_.data(), n, buf);
        self.body_.erase(0, n);
        if (self.body_.empty()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            if (self.trailers_) {
                *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
                const std::vector<std::pair<std::string, std::string>> trailer{{"x-checksum", "1"}};
                const auto list = to_list(trailer);
                nghttp2_submit_trailer(session, stream, list.data(), list.size());
            }
        }
        return static_cast<ssize_t>(n);
    }

    static int on_header(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name,
                         std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t, void* user) {
        if (std::string(reinterpret_cast<const char*>(name), name_size) == ":status") {
            static_cast<raw_peer*>(user)->statuses.emplace_back(reinterpret_cast<const char*>(value),
                                                                value_size);
        }
        return 0;
    }

    int fd_;
    nghttp2_session* session_ = nullptr;
    std::string body_;
    bool trailers_ = false;
    std::string pending_;
};

struct peer_endings_fixture : loop_fixture {
    peer_server server{loop, limits()};
    peer_client client{loop, {}};
    std::string address = server.listen("127.0.0.1:0");
    std::vector<std::shared_ptr<peer_responder>> held;

    peer_endings_fixture() {
        server.serve("echo", [](const std::string& body, const std::shared_ptr<peer_responder>& to) {
            to->send(body);
            to->finish();
        });
        server.serve("hold", [this](const std::string&, const std::shared_ptr<peer_responder>& to) {
            held.push_back(to);
        });
    }

    static peer_limits limits() {
        peer_limits out;
        out.request_bytes = request_bytes;
        return out;
    }

    static std::vector<std::pair<std::string, std::string>> post(const std::string& path) {
        return {{":method", "POST"},
                {":scheme", "http"},
                {":path", path},
                {":authority", "a"},
                {"x-skylarkseam-protocol", "1"}};
    }

    /// Runs until the peer has had that many answers.
    bool run_to(raw_peer& peer, std::size_t answers) {
        return run_until([&] {
            peer.step();
            return peer.statuses.size() >= answers;
        });
    }

    void run(raw_peer& peer, int turns) {
        for (int it = 0; it < turns; ++it) {
            peer.step();
            loop.run_once(milliseconds(1));
        }
    }

    void check_serves() {
        std::string reply;
        client.call(address, "echo", "x", seconds(5),
                    [&](const stream_end&, const std::string& frame) { reply = frame; });
        BOOST_TEST(run_until([&] { return !reply.empty(); }));
        BOOST_TEST(reply == "x");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_request_between_nodes, peer_endings_fixture)

// Guards against the end of the process by a request without a path.
BOOST_AUTO_TEST_CASE(without_a_path_is_refused) {
    raw_peer peer(address);
    peer.request({{":method", "CONNECT"}, {":authority", "a"}, {"x-skylarkseam-protocol", "1"}}, {}, false);
    BOOST_TEST(run_to(peer, 1));
    BOOST_TEST(peer.statuses == std::vector<std::string>{"404"}, boost::test_tools::per_element());
    check_serves();
}

// Guards against an answer that is read from a stream which the trailer has replaced.
BOOST_AUTO_TEST_CASE(that_was_refused_may_go_on_with_a_trailer) {
    raw_peer peer(address);
    peer.request(post("/echo"), std::string(2 * request_bytes, 'a'), true);
    BOOST_TEST(run_to(peer, 1));
    BOOST_TEST(peer.statuses == std::vector<std::string>{"413"}, boost::test_tools::per_element());
    check_serves();
}

BOOST_AUTO_TEST_CASE(with_a_trailer_keeps_its_path_and_body) {
    raw_peer peer(address);
    peer.request(post("/echo"), "abc", true);
    BOOST_TEST(run_to(peer, 1));
    BOOST_TEST(peer.statuses == std::vector<std::string>{"200"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(that_is_reset_at_any_point_is_forgotten) {
    for (const int turns : {0, 1, 2, 5, 20}) {
        for (const auto* const path : {"/echo", "/hold", "/unknown"}) {
            raw_peer peer(address);
            const auto stream = peer.request(post(path), std::string(2 * request_bytes, 'a'), true);
            run(peer, turns);
            peer.reset(stream);
            run(peer, 3);
            const auto again = peer.request(post(path), "abc", false);
            run(peer, turns);
            peer.reset(again);
            run(peer, 3);
        }
    }
    for (const auto& it : held) {
        it->send("late");
        it->finish();
    }
    run_turns(5);
    check_serves();
}

BOOST_AUTO_TEST_SUITE_END()
