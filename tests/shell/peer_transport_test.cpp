// Streams between nodes: many at a time, withdrawn, refused, and cut.
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <sys/socket.h>
#include <tests/shell/loop_fixture.hpp>
#include <unistd.h>

using namespace skylarkseam;

namespace {

peer_limits small_limits() {
    peer_limits limits;
    limits.frame_bytes = 1U << 20U;
    limits.request_bytes = 1U << 20U;
    return limits;
}

struct peer_fixture : loop_fixture {
    peer_server server{loop, small_limits()};
    peer_client client{loop, small_limits()};
    std::string address = server.listen("127.0.0.1:0");
    std::map<std::string, std::shared_ptr<peer_responder>> held;

    peer_fixture() {
        server.serve("echo", [](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
            responder->send(body);
            responder->send("second");
            responder->finish();
        });
        server.serve("hold",
                     [this](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
                         held[body] = responder;
                     });
    }

    struct outcome {
        std::vector<std::string> frames;
        bool ended = false;
        stream_end end;
    };

    std::shared_ptr<outcome> open(const std::string& topic, const std::string& body) {
        auto out = std::make_shared<outcome>();
        last_stream = client.open(
            address, topic, body, [out](std::string frame) { out->frames.push_back(std::move(frame)); },
            [out](stream_end end) {
                out->ended = true;
                out->end = std::move(end);
            });
        return out;
    }

    peer_stream last_stream = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_streams, peer_fixture)

BOOST_AUTO_TEST_CASE(each_of_many_streams_gets_its_own_frames_in_order) {
    std::vector<std::shared_ptr<outcome>> all;
    all.reserve(200);
    for (int it = 0; it < 200; ++it) {
        all.push_back(open("echo", std::to_string(it) + std::string(static_cast<std::size_t>(it) * 50, 'x')));
    }
    BOOST_REQUIRE(run_until(
        [&] { return std::all_of(all.begin(), all.end(), [](const auto& it) { return it->ended; }); }));
    for (std::size_t it = 0; it < all.size(); ++it) {
        BOOST_TEST(all[it]->end.complete);
        BOOST_REQUIRE(all[it]->frames.size() == 2U);
        BOOST_TEST(all[it]->frames[0] == std::to_string(it) + std::string(it * 50, 'x'));
        BOOST_TEST(all[it]->frames[1] == "second");
    }
}

BOOST_AUTO_TEST_CASE(frames_may_come_long_after_the_request) {
    const auto one = open("hold", "one");
    BOOST_REQUIRE(run_until([&] { return held.count("one") == 1; }));
    held["one"]->send("first");
    BOOST_REQUIRE(run_until([&] { return one->frames.size() == 1; }));
    BOOST_TEST(!one->ended);
    held["one"]->send("last");
    held["one"]->finish();
    BOOST_REQUIRE(run_until([&] { return one->ended; }));
    BOOST_TEST(one->end.complete);
    BOOST_TEST(one->frames.back() == "last");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_stream_is_told_to_the_other_side_and_reports_nothing_here) {
    const auto one = open("hold", "one");
    BOOST_REQUIRE(run_until([&] { return held.count("one") == 1; }));
    bool withdrawn = false;
    held["one"]->on_withdrawn([&] { withdrawn = true; });
    client.reset(last_stream);
    BOOST_REQUIRE(run_until([&] { return withdrawn; }));
    held["one"]->send("late");
    run_turns(5);
    BOOST_TEST(!one->ended);
    BOOST_TEST(one->frames.empty());
}

BOOST_AUTO_TEST_SUITE(refusals)

BOOST_AUTO_TEST_CASE(an_unknown_topic_is_refused_and_counted) {
    const auto one = open("nonsense", "x");
    BOOST_REQUIRE(run_until([&] { return one->ended; }));
    BOOST_TEST(!one->end.complete);
    BOOST_TEST(one->end.detail == "the peer answered 404");
    BOOST_TEST(server.rejected() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_over_the_limit_is_refused_and_the_next_one_is_served) {
    const auto large = open("echo", std::string((1U << 20U) + 1, 'x'));
    BOOST_REQUIRE(run_until([&] { return large->ended; }));
    BOOST_TEST(!large->end.complete);
    const auto next = open("echo", "x");
    BOOST_REQUIRE(run_until([&] { return next->ended; }));
    BOOST_TEST(next->end.complete);
}

BOOST_AUTO_TEST_CASE(a_frame_over_the_limit_ends_its_stream_only) {
    const auto one = open("hold", "one");
    BOOST_REQUIRE(run_until([&] { return held.count("one") == 1; }));
    held["one"]->send(std::string((1U << 20U) + 1, 'x'));
    held["one"]->finish();
    BOOST_REQUIRE(run_until([&] { return one->ended; }));
    BOOST_TEST(one->end.detail == "the peer sent a frame over the limit");
    const auto next = open("echo", "x");
    BOOST_REQUIRE(run_until([&] { return next->ended; }));
    BOOST_TEST(next->end.complete);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_http2_close_that_connection_only) {
    const int fd = start_connection(address);
    run_turns(5);
    const std::string noise = "GET / HTTP/1.1\r\n\r\n";
    BOOST_REQUIRE(::send(fd, noise.data(), noise.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(noise.size()));
    std::array<char, 1024> buf{};
    BOOST_TEST(run_until([&] { return ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT) == 0; }));
    ::close(fd);
    const auto next = open("echo", "x");
    BOOST_REQUIRE(run_until([&] { return next->ended; }));
    BOOST_TEST(next->end.complete);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_peer_that_is_lost)

BOOST_AUTO_TEST_CASE(nothing_was_sent_where_nobody_listens) {
    const int fd = open_listener("127.0.0.1:0");
    address = bound_address(fd);
    ::close(fd);
    const auto one = open("echo", "x");
    BOOST_REQUIRE(run_until([&] { return one->ended; }));
    BOOST_TEST(!one->end.sent);
}

BOOST_AUTO_TEST_CASE(a_silent_peer_is_given_up_and_its_requests_may_have_run) {
    const int fd = open_listener("127.0.0.1:0");
    address = bound_address(fd);
    loop.pause_clock();
    const auto one = open("echo", "x");
    run_turns(10);
    for (int it = 0; it < 12 && !one->ended; ++it) {
        loop.advance(milliseconds(500));
        run_turns(10);
    }
    BOOST_REQUIRE(one->ended);
    BOOST_TEST(!one->end.complete);
    BOOST_TEST(one->end.sent);
    ::close(fd);
}

// Guards against a connection that is given up because nothing was asked on it for some time.
BOOST_AUTO_TEST_CASE(a_peer_without_open_streams_is_not_taken_for_silent) {
    loop.pause_clock();
    const auto one = open("echo", "x");
    BOOST_REQUIRE(run_until([&] { return one->ended; }));
    loop.advance(seconds(6));
    run_turns(10);
    const auto two = open("hold", "y");
    BOOST_REQUIRE(run_until([&] { return held.count("y") == 1; }));
    for (int it = 0; it < 4; ++it) {
        loop.advance(milliseconds(500));
        run_turns(10);
    }
    BOOST_TEST(!two->ended);
}

// Guards against a connection that is used again after it has gone silent under a call.
BOOST_AUTO_TEST_CASE(a_connection_on_which_a_call_was_not_answered_is_replaced) {
    const int fd = open_listener("127.0.0.1:0");
    address = bound_address(fd);
    loop.pause_clock();
    int answers = 0;
    const auto call = [&] {
        client.call(address, "echo", "x", milliseconds(700),
                    [&](const stream_end&, const std::string&) { ++answers; });
        run_turns(10);
        loop.advance(milliseconds(701));
        run_turns(10);
    };
    call();
    call();
    BOOST_TEST(answers == 2);
    int connections = 0;
    while (true) {
        const int accepted = ::accept(fd, nullptr, nullptr);
        if (accepted < 0) {
            break;
        }
        ++connections;
        ::close(accepted);
    }
    BOOST_TEST(connections == 2);
    ::close(fd);
}

BOOST_AUTO_TEST_CASE(a_call_that_is_not_answered_times_out) {
    loop.pause_clock();
    std::string detail;
    client.call(address, "hold", "one", milliseconds(100),
                [&](const stream_end& end, const std::string&) { detail = end.detail; });
    BOOST_REQUIRE(run_until([&] { return held.count("one") == 1; }));
    loop.advance(milliseconds(100));
    BOOST_REQUIRE(run_until([&] { return !detail.empty(); }));
    BOOST_TEST(detail == "the call timed out");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
