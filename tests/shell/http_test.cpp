// HTTP by the loop: the server and the client against each other, and the server against clients that
// misbehave.
#include "scripted_server.hpp"

#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <cerrno>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <tests/shell/loop_fixture.hpp>
#include <thread>
#include <unistd.h>

using namespace skylarkseam;

namespace {

struct http_fixture : loop_fixture {
    http_limits limits{64, 4096, 64, 4};
    std::map<std::string, respond> held; ///< requests to /held, answered by the test
    http_server server{
        loop, limits,
        [this](const incoming_request& request, const respond& answer) {
            if (request.path == "/held") {
                held[request.argument("name")] = answer;
                return;
            }
            answer({200, request.method + request.body + request.header("x-caller"), "text/plain", {}});
        },
        [this](std::uint64_t id) { gone.push_back(id); }};
    std::vector<std::uint64_t> gone; ///< requests whose clients left
    std::string address = server.listen("127.0.0.1:0");
    http_client client{loop};

    http_response fetch(http_request request) {
        http_response response;
        bool done = false;
        request.url = "http://" + address + request.url;
        client.send(std::move(request), [&](http_response it) {
            response = std::move(it);
            done = true;
        });
        BOOST_REQUIRE(run_until([&] { return done; }));
        return response;
    }

    [[nodiscard]] http_request get_held(const std::string& name) const {
        http_request request;
        request.url = "http://" + address + "/held?name=" + name;
        return request;
    }

    /// Sends as soon as the connection is open.
    bool send_once(int fd, const std::string& bytes) {
        bool sent = false;
        return run_until(
            [&] { return sent = sent || ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0; });
    }

    /// Appends what has come on a connection; true once the other side has closed it.
    static bool receive(int fd, std::string& to) {
        std::array<char, 512> buf{};
        const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        to.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
        return n == 0 || (n < 0 && errno == ECONNRESET);
    }

    http_request post(const std::string& body) {
        http_request request;
        request.method = "POST";
        request.url = "/echo";
        request.headers = {"X-Caller: partner"};
        request.body = body;
        return request;
    }
};

/// Listens, takes one request on each connection, and hangs up without an answer.
struct hanging_up_upstream {
    explicit hanging_up_upstream(event_loop& loop)
        : fd(open_listener("127.0.0.1:0")) {
        loop.watch(fd, {true, false}, [this, &loop](readiness) {
            const int accepted = ::accept(fd, nullptr, nullptr);
            ++connections;
            loop.watch(accepted, {true, false}, [accepted, this, &loop](readiness) {
                std::array<char, 4096> buf{};
                requests += ::recv(accepted, buf.data(), buf.size(), 0) > 0 ? 1 : 0;
                loop.unwatch(accepted);
                ::close(accepted);
            });
        });
    }

    int fd;
    int connections = 0;
    int requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, http_fixture)

BOOST_AUTO_TEST_CASE(a_request_is_answered_with_its_own_body_and_headers) {
    const auto response = fetch(post("hello"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "POSThellopartner");
    BOOST_TEST(response.header("content-type") == "text/plain");
}

BOOST_AUTO_TEST_CASE(answers_may_come_later_and_in_another_order) {
    std::map<std::string, std::string> got;
    for (const std::string name : {"a", "b", "c"}) {
        client.send(get_held(name), [&got, name](const http_response& it) { got[name] = it.body; });
    }
    BOOST_REQUIRE(run_until([&] { return held.size() == 3; }));
    for (const std::string name : {"c", "a", "b"}) {
        held[name]({200, "for " + name, "text/plain", {}});
    }
    BOOST_REQUIRE(run_until([&] { return got.size() == 3; }));
    BOOST_TEST(got["a"] == "for a");
    BOOST_TEST(got["b"] == "for b");
    BOOST_TEST(got["c"] == "for c");
}

BOOST_AUTO_TEST_SUITE(limits_of_the_server)

BOOST_AUTO_TEST_CASE(a_body_over_the_limit_is_refused_and_counted_and_the_next_request_is_served) {
    BOOST_TEST(fetch(post(std::string(65, 'x'))).status == 413);
    BOOST_TEST(server.rejected() == 1U);
    BOOST_TEST(fetch(post("x")).status == 200);
}

BOOST_AUTO_TEST_CASE(headers_over_the_limit_are_refused) {
    auto request = post("x");
    request.headers.push_back("X-Long: " + std::string(8192, 'x'));
    const auto response = fetch(std::move(request));
    BOOST_TEST(response.status >= 400);
}

BOOST_AUTO_TEST_CASE(beyond_the_open_requests_a_request_is_refused_as_not_run) {
    for (int it = 0; it < 4; ++it) {
        client.send(get_held(std::to_string(it)), [](const http_response&) {});
    }
    BOOST_REQUIRE(run_until([&] { return held.size() == 4; }));
    const auto refused = fetch(post("x"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.body.find("\"ran\":\"no\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(beyond_the_bytes_that_are_held_a_request_is_refused_with_a_time_to_come_back) {
    http_limits few;
    few.held_bytes = 100;
    std::vector<respond> waiting;
    http_server small{loop, few,
                      [&](const incoming_request&, const respond& answer) { waiting.push_back(answer); }};
    address = small.listen("127.0.0.1:0");
    auto first = post(std::string(60, 'x'));
    first.url = "http://" + address + first.url;
    bool first_done = false;
    client.send(std::move(first), [&](const http_response&) { first_done = true; });
    BOOST_REQUIRE(run_until([&] { return waiting.size() == 1U; }));

    const auto refused = fetch(post(std::string(60, 'y')));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(!refused.header("retry-after").empty());

    waiting[0]({200, "", "", {}});
    BOOST_REQUIRE(run_until([&] { return first_done; }));
    auto third = post(std::string(60, 'z'));
    third.url = "http://" + address + third.url;
    client.send(std::move(third), [](const http_response&) {});
    BOOST_REQUIRE(run_until([&] { return waiting.size() == 2U; }));
    waiting[1]({200, "", "", {}});
}

// Guards against a refusal, which promises that nothing has run, in place of the answer of a request that has
// run.
BOOST_AUTO_TEST_CASE(an_answer_is_given_although_the_limit_of_open_requests_is_reached) {
    std::map<std::string, int> got;
    for (const std::string name : {"a", "b", "c", "d"}) {
        client.send(get_held(name), [&got, name](const http_response& it) { got[name] = it.status; });
    }
    BOOST_REQUIRE(run_until([&] { return held.size() == limits.open_requests; }));
    for (const std::string name : {"a", "b", "c", "d"}) {
        held[name]({200, "done", "text/plain", {}});
    }
    BOOST_REQUIRE(run_until([&] { return got.size() == limits.open_requests; }));
    for (const auto& [name, status] : got) {
        BOOST_TEST(status == 200, name << " got " << status);
    }
    BOOST_TEST(server.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_is_given_although_the_limit_of_held_bytes_is_reached) {
    http_limits small = limits;
    small.held_bytes = 100;
    std::vector<respond> waiting;
    http_server other{loop, small,
                      [&](const incoming_request&, const respond& answer) { waiting.push_back(answer); }};
    const auto other_address = other.listen("127.0.0.1:0");
    std::vector<int> statuses;
    for (int n = 0; n < 2; ++n) {
        http_request request;
        request.url = "http://" + other_address + "/x";
        client.send(std::move(request), [&](const http_response& it) { statuses.push_back(it.status); });
    }
    BOOST_REQUIRE(run_until([&] { return waiting.size() == 2; }));
    for (const auto& it : waiting) {
        it({200, std::string(2 * small.held_bytes, 'a'), "text/plain", {}});
    }
    BOOST_REQUIRE(run_until([&] { return statuses.size() == 2; }));
    BOOST_TEST(statuses == (std::vector<int>{200, 200}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_client_that_sends_its_headers_slowly_is_told_that_nothing_has_run) {
    server.set_client_limits(64, milliseconds(100), seconds(60));
    const int fd = start_connection(address);
    BOOST_REQUIRE(send_once(fd, "GET /x HTTP/1.1\r\nHost: a\r\n"));
    std::string answer;
    bool closed = false;
    int turns = 0;
    BOOST_REQUIRE(run_until([&] {
        // One more header now and then, so that the connection is never idle.
        if (++turns % 50 == 0) {
            ::send(fd, "X: y\r\n", 6, MSG_NOSIGNAL);
        }
        return closed = closed || receive(fd, answer);
    }));
    ::close(fd);
    BOOST_TEST(answer.starts_with("HTTP/1.1 408 "));
    BOOST_TEST(server.rejected() == 1U);
    BOOST_TEST(fetch(post("x")).status == 200);
}

BOOST_AUTO_TEST_CASE(a_client_that_leaves_amid_its_headers_is_forgotten) {
    server.set_client_limits(64, milliseconds(100), seconds(60));
    const int fd = start_connection(address);
    BOOST_REQUIRE(send_once(fd, "GET /x HTTP/1.1\r\nHost: a\r\n"));
    run_turns(20);
    ::close(fd);
    run_turns(400); // beyond the time for headers
    BOOST_TEST(server.rejected() == 0U);
    BOOST_TEST(fetch(post("x")).status == 200);
}

BOOST_AUTO_TEST_CASE(a_connection_that_rests_too_long_is_closed) {
    server.set_client_limits(64, seconds(30), seconds(1));
    const int fd = start_connection(address);
    const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(run_until([&] {
        return ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(request.size());
    }));
    std::string answer;
    BOOST_REQUIRE(run_until([&] { return receive(fd, answer) || !answer.empty(); }));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    bool closed = false;
    BOOST_TEST(run_until([&] { return closed = closed || receive(fd, answer); }));
    ::close(fd);
}

BOOST_AUTO_TEST_CASE(an_answer_to_a_client_that_has_gone_is_dropped) {
    const auto id = client.send(get_held("gone"), [](const http_response&) {});
    BOOST_REQUIRE(run_until([&] { return held.count("gone") == 1; }));
    client.abort(id);
    run_turns(5);
    held["gone"]({200, "late", "text/plain", {}});
    run_turns(5);
    BOOST_TEST(fetch(post("x")).status == 200);
    BOOST_TEST(server.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(a_client_that_leaves_before_its_answer_is_noticed_once) {
    const auto id = client.send(get_held("left"), [](const http_response&) {});
    BOOST_REQUIRE(run_until([&] { return held.size() == 1; }));
    run_turns(150);
    BOOST_TEST(gone.empty());
    client.abort(id);
    BOOST_REQUIRE(run_until([&] { return !gone.empty(); }));
    run_turns(150);
    BOOST_TEST(gone.size() == 1U);
    BOOST_REQUIRE(run_until([&] { return server.open_requests() == 0; }));
}

BOOST_AUTO_TEST_CASE(the_target_reaches_the_handler_as_the_client_wrote_it) {
    http_request request;
    request.url = "/a%2Fb/c?x=%20&y";
    std::string target;
    http_server other{loop, limits, [&](const incoming_request& it, const respond& answer) {
                          target = it.target;
                          answer({200, "", "", {}});
                      }};
    request.url = "http://" + other.listen("127.0.0.1:0") + request.url;
    bool done = false;
    client.send(std::move(request), [&](const http_response&) { done = true; });
    BOOST_REQUIRE(run_until([&] { return done; }));
    BOOST_TEST(target == "/a%2Fb/c?x=%20&y");
}

// A segment of the path may be an object's name.
BOOST_AUTO_TEST_CASE(dots_in_a_path_reach_the_handler_as_the_client_wrote_them) {
    std::string target;
    http_server other{loop, limits, [&](const incoming_request& it, const respond& answer) {
                          target = it.target;
                          answer({200, "", "", {}});
                      }};
    const auto listens = other.listen("127.0.0.1:0");
    for (const auto* const path :
         {"/objects/k/..", "/objects/k/.", "/objects/k/../x", "/objects/k/...", "/%2E%2E/x"}) {
        bool done = false;
        http_request request;
        request.url = "http://" + listens + path;
        client.send(std::move(request), [&](const http_response&) { done = true; });
        BOOST_REQUIRE(run_until([&] { return done; }));
        BOOST_TEST(target == path);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(what_the_client_tells_of_a_failure)

BOOST_AUTO_TEST_CASE(nothing_was_sent_where_nobody_listens) {
    const int fd = open_listener("127.0.0.1:0");
    address = bound_address(fd);
    ::close(fd);
    const auto response = fetch(post("x"));
    BOOST_TEST(response.status == 0);
    BOOST_TEST(!response.sent);
    BOOST_TEST(!response.detail.empty());
}

BOOST_AUTO_TEST_CASE(an_answer_over_the_clients_limit_counts_as_none) {
    http_client small(loop, 8);
    auto request = post(std::string(16, 'x'));
    request.url = "http://" + address + request.url;
    std::string detail;
    small.send(std::move(request), [&](const http_response& it) {
        BOOST_TEST(it.status == 0);
        BOOST_TEST(it.body.empty());
        detail = it.detail;
    });
    BOOST_TEST(run_until([&] { return !detail.empty(); }));
}

BOOST_AUTO_TEST_CASE(a_request_without_an_answer_may_have_run) {
    hanging_up_upstream upstream(loop);
    address = bound_address(upstream.fd);
    const auto response = fetch(post("x"));
    BOOST_TEST(response.status == 0);
    BOOST_TEST(response.sent);
    BOOST_TEST(response.reset);
}

// Guards against a call that waits on an idle connection which has gone silent, while a new one would work.
BOOST_AUTO_TEST_CASE(a_connection_that_was_idle_for_long_is_not_used_again) {
    scripted_server upstream(loop, [](const std::string&) {
        return scripted_server::reply{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    });
    address = upstream.address;
    const auto status_of_next = [&] {
        http_request request;
        request.url = "http://" + address + "/x";
        request.timeout = milliseconds(300);
        std::optional<int> status;
        client.send(std::move(request), [&](const http_response& it) { status = it.status; });
        BOOST_REQUIRE(run_until([&] { return status.has_value(); }));
        return *status;
    };
    BOOST_TEST(status_of_next() == 200);
    BOOST_TEST(status_of_next() == 200);
    BOOST_TEST(upstream.accepted == 1);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(2200)); // The library measures idle time by its own clock.
    BOOST_TEST(status_of_next() == 200);
    BOOST_TEST(upstream.accepted == 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_must_not_run_twice_is_sent_once) {
    hanging_up_upstream upstream(loop);
    address = bound_address(upstream.fd);
    auto request = post("x");
    request.never_resend = true;
    const auto response = fetch(std::move(request));
    BOOST_TEST(response.status == 0);
    run_turns(20);
    BOOST_TEST(upstream.requests == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
