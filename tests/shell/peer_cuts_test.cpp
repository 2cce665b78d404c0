// Connections between nodes that end at each byte, by a reset and in order, in either direction: a frame is
// delivered whole or not at all, a stream is complete only if its end came, and no part of a request is
// served.
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <limits>
#include <sys/socket.h>
#include <tests/shell/loop_fixture.hpp>
#include <unistd.h>

using namespace skylarkseam;

namespace {

constexpr std::size_t no_cut = std::numeric_limits<std::size_t>::max();
const std::string request_body = "the request, of which a part is nothing";
const std::vector<std::string> reply_frames{"accepted", "the answer, of which a part is nothing"};

enum class direction { request, reply };

/// Carries one connection to the server, up to a number of bytes in one direction.
class cutting_proxy {
public:
    cutting_proxy(event_loop& loop, std::string server, direction way, std::size_t cut, bool reset)
        : loop_(loop)
        , server_(std::move(server))
        , way_(way)
        , cut_(cut)
        , reset_(reset)
        , listener_(open_listener("127.0.0.1:0"))
        , address(bound_address(listener_)) {
        loop_.watch(listener_, {true, false}, [this](readiness) { accept_one(); });
    }
    ~cutting_proxy() {
        end();
        loop_.unwatch(listener_);
        ::close(listener_);
    }
    cutting_proxy(const cutting_proxy&) = delete;
    cutting_proxy& operator=(const cutting_proxy&) = delete;

    std::size_t carried = 0; ///< Bytes in the direction that is cut

private:
    void accept_one() {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0 || client_ >= 0) {
            ::close(fd); // A second attempt to connect finds nobody.
            return;
        }
        client_ = fd;
        upstream_ = start_connection(server_);
        loop_.watch(client_, {true, false},
                    [this](readiness) { carry(client_, upstream_, direction::request); });
        loop_.watch(upstream_, {true, false},
                    [this](readiness) { carry(upstream_, client_, direction::reply); });
    }

    void carry(int from, int to, direction way) {
        std::array<char, 4096> buf{};
        const auto n = ::recv(from, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return;
        }
        if (n <= 0) {
            end();
            return;
        }
        auto size = static_cast<std::size_t>(n);
        if (way == way_) {
            size = std::min(size, cut_ - carried);
            carried += size;
        }
        ::send(to, buf.data(), size, MSG_NOSIGNAL);
        if (carried == cut_) {
            end();
        }
    }

    void end() {
        for (int* const fd : {&client_, &upstream_}) {
            if (*fd < 0) {
                continue;
            }
            const linger at_once{1, 0};
            if (reset_) {
                ::setsockopt(*fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            }
            loop_.unwatch(*fd);
            ::close(*fd);
            *fd = -1;
        }
    }

    event_loop& loop_;
    std::string server_;
    direction way_;
    std::size_t cut_;
    bool reset_;
    int listener_;
    int client_ = -1;
    int upstream_ = -1;

public:
    const std::string address;
};

struct cut_result {
    std::vector<std::string> frames;
    std::optional<stream_end> end;
    std::vector<std::string> served; ///< Bodies of the requests that the server has taken
    std::size_t carried = 0;
};

/// One stream over a connection that ends after `cut` bytes.
cut_result play(direction way, std::size_t cut, bool reset) {
    loop_fixture it;
    cut_result out;
    peer_server server(it.loop, {});
    server.serve("topic", [&](const std::string& body, const std::shared_ptr<peer_responder>& to) {
        out.served.push_back(body);
        for (const auto& frame : reply_frames) {
            to->send(frame);
        }
        to->finish();
    });
    cutting_proxy proxy(it.loop, server.listen("127.0.0.1:0"), way, cut, reset);
    peer_client client(it.loop, {});
    client.open(
        proxy.address, "topic", request_body,
        [&](std::string frame) { out.frames.push_back(std::move(frame)); },
        [&](stream_end end) { out.end = std::move(end); });
    BOOST_REQUIRE(it.run_until([&] { return out.end.has_value(); }));
    it.run_turns(3); // What the server still has to read.
    out.carried = proxy.carried;
    return out;
}

void check(const cut_result& it, const std::string& text) {
    BOOST_TEST_REQUIRE(it.frames.size() <= reply_frames.size(), text);
    for (std::size_t n = 0; n < it.frames.size(); ++n) {
        BOOST_TEST(it.frames[n] == reply_frames[n], text);
    }
    BOOST_TEST((!it.end->complete || it.frames.size() == reply_frames.size()), text);
    BOOST_TEST(it.served.size() <= 1U, text);
    for (const auto& body : it.served) {
        BOOST_TEST(body == request_body, text);
    }
    BOOST_TEST((it.end->sent || it.served.empty()), text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_connection_between_nodes_that_ends_at_each_byte)

BOOST_AUTO_TEST_CASE(delivers_whole_frames_and_serves_whole_requests_only) {
    for (const auto way : {direction::request, direction::reply}) {
        const auto whole = play(way, no_cut, false);
        BOOST_TEST(whole.end->complete);
        BOOST_TEST((whole.frames == reply_frames));
        BOOST_TEST(whole.served.size() == 1U);
        BOOST_TEST(whole.carried > request_body.size());
        for (const bool reset : {true, false}) {
            for (std::size_t cut = 1; cut < whole.carried; ++cut) {
                const auto text = std::string(way == direction::request ? "request" : "reply") + ", " +
                                  std::to_string(cut) + (reset ? " bytes, reset" : " bytes, in order");
                check(play(way, cut, reset), text);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
