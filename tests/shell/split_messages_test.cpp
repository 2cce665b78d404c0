// Messages that arrive in two segments: wherever the cut is, the answer of a searcher or of the store and the
// request of a client are read whole. A head that ends exactly at the end of a segment was once rejected.
#include "scripted_server.hpp"

#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/upstream_pool.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

namespace {

constexpr std::size_t body_limit = 1U << 16U;

/// An answer that ends with its connection where `close` is set.
struct split_answer {
    std::string bytes;
    std::string body;
    bool close = false;
    bool is_head = false;
    int status = 200;
};

const split_answer with_length{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello"};
const split_answer chunked{
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", "hello"};
const split_answer without_body{"HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", "", false, false, 204};
const split_answer empty_body{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""};
const split_answer to_the_end{"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhello", "hello", true};
const split_answer after_interim{
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello"};
const split_answer to_head{"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", "", false, true};
const split_answer refusal{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno", "no", false,
                           false, 503};

struct searcher_fixture : loop_fixture {
    scripted_server::reply next;
    scripted_server server{loop, [this](const std::string&) { return next; }};
    std::optional<upstream_result> received;
    upstream_pool pool{loop, body_limit, [this](upstream_call_id, upstream_result result) {
                           BOOST_TEST(!received.has_value());
                           received = std::move(result);
                       }};
    upstream_call_id last = 0;

    const upstream_result& fetch(scripted_server::reply reply, bool is_head = false) {
        next = std::move(reply);
        received.reset();
        upstream_call call;
        call.id = ++last;
        call.address = server.address;
        call.request = {"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", is_head, "x-request-id", "r1"};
        call.connect_timeout = seconds(1);
        pool.send(std::move(call));
        BOOST_REQUIRE(run_until([&] { return received.has_value(); }));
        return *received;
    }

    void check_every_cut(const split_answer& answer) {
        for (std::size_t cut = 1; cut < answer.bytes.size(); ++cut) {
            const auto& result = fetch({answer.bytes, answer.close, false, cut}, answer.is_head);
            BOOST_TEST_CONTEXT("cut after byte " << cut << ": " << result.detail) {
                BOOST_TEST_REQUIRE(result.response.has_value());
                BOOST_TEST(result.response->status == answer.status);
                BOOST_TEST(result.response->body == answer.body);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_message_in_two_segments)

BOOST_FIXTURE_TEST_SUITE(from_a_searcher, searcher_fixture)

BOOST_AUTO_TEST_CASE(is_whole_with_a_length) {
    check_every_cut(with_length);
    BOOST_TEST(server.accepted == 1);
}

BOOST_AUTO_TEST_CASE(is_whole_in_chunks) {
    check_every_cut(chunked);
    BOOST_TEST(server.accepted == 1);
}

BOOST_AUTO_TEST_CASE(is_whole_without_a_body) {
    check_every_cut(without_body);
    check_every_cut(empty_body);
    BOOST_TEST(server.accepted == 1);
}

BOOST_AUTO_TEST_CASE(is_whole_where_it_ends_with_the_connection) {
    check_every_cut(to_the_end);
}

BOOST_AUTO_TEST_CASE(is_whole_after_an_interim_response) {
    check_every_cut(after_interim);
}

BOOST_AUTO_TEST_CASE(is_whole_for_a_head_request_whatever_length_it_states) {
    check_every_cut(to_head);
}

BOOST_AUTO_TEST_CASE(is_whole_where_it_is_a_refusal) {
    check_every_cut(refusal);
}

// Guards against an answer whose head is cut off and that counts as whole, with an empty or a short body.
BOOST_AUTO_TEST_CASE(is_none_where_it_stops_in_its_head) {
    for (const auto& answer :
         {with_length, chunked, without_body, empty_body, to_the_end, after_interim, to_head, refusal}) {
        // The head of the last answer, behind interim ones.
        const auto head = answer.bytes.find("\r\n\r\n", answer.bytes.rfind("HTTP/1.1")) + 4;
        for (std::size_t end = 1; end < head; ++end) {
            for (const auto segment : {std::size_t{0}, end / 2}) {
                const auto& result =
                    fetch({answer.bytes.substr(0, end), true, false, segment}, answer.is_head);
                BOOST_TEST_CONTEXT("stopped after byte " << end << " of " << answer.bytes) {
                    BOOST_TEST(!result.response.has_value());
                    BOOST_TEST(result.sent);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_none_where_it_stops_in_a_body_whose_end_it_states) {
    for (const auto& answer : {with_length, chunked, refusal}) {
        for (auto end = answer.bytes.find("\r\n\r\n") + 4; end < answer.bytes.size(); ++end) {
            const auto& result = fetch({answer.bytes.substr(0, end), true});
            BOOST_TEST(!result.response.has_value(), "stopped after byte " << end << " of " << answer.bytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_taken_once_where_a_second_answer_follows) {
    const auto both = with_length.bytes + chunked.bytes;
    for (std::size_t cut = 1; cut < both.size(); ++cut) {
        const auto& result = fetch({both, false, false, cut});
        BOOST_TEST_REQUIRE(result.response.has_value());
        BOOST_TEST(result.response->body == "hello");
        BOOST_REQUIRE(run_until([&] { return pool.counters().connections == 0; }));
    }
}

BOOST_AUTO_TEST_CASE(is_rejected_where_its_body_exceeds_the_limit) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_limit + 1) + "\r\n\r\n";
    for (const auto cut : {head.size() - 1, head.size(), head.size() + 1}) {
        const auto& result = fetch({head + std::string(body_limit + 1, 'x'), true, false, cut});
        BOOST_TEST(!result.response.has_value());
        BOOST_TEST(result.detail.find("longer than") != std::string::npos);
    }
    const std::string chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n";
    const auto& result = fetch({chunk + std::string(body_limit + 1, 'x'), true, false, chunk.size()});
    BOOST_TEST(!result.response.has_value());
    BOOST_TEST(result.detail.find("longer than") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(is_whole_from_the_store, loop_fixture) {
    scripted_server::reply next;
    scripted_server server(loop, [&](const std::string&) { return next; });
    http_client client(loop);
    for (const auto* const it : {&with_length, &chunked, &empty_body, &to_the_end, &after_interim}) {
        for (std::size_t cut = 1; cut < it->bytes.size(); ++cut) {
            next = {it->bytes, it->close, false, cut};
            std::optional<http_response> received;
            http_request request;
            request.url = "http://" + server.address + "/objects";
            client.send(std::move(request), [&](http_response response) { received = std::move(response); });
            BOOST_REQUIRE(run_until([&] { return received.has_value(); }));
            BOOST_TEST_CONTEXT("cut after byte " << cut << " of " << it->bytes) {
                BOOST_TEST(received->status == 200);
                BOOST_TEST(received->body == it->body);
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(is_whole_from_a_client, loop_fixture) {
    std::vector<std::string> bodies;
    http_server server(loop, {64, 4096, 64, 4}, [&](const incoming_request& request, const respond& answer) {
        bodies.push_back(request.body);
        answer({200, "answer", "text/plain", {}});
    });
    const auto address = server.listen("127.0.0.1:0");
    const std::string length = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
    const std::string chunks =
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
    for (const auto& request : {length, chunks}) {
        for (std::size_t cut = 1; cut < request.size(); ++cut) {
            const int fd = start_connection(address);
            BOOST_TEST_REQUIRE(fd >= 0);
            std::size_t sent = 0;
            BOOST_REQUIRE(run_until([&] {
                const auto n = ::send(fd, request.data() + sent, cut - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
                sent += n > 0 ? static_cast<std::size_t>(n) : 0;
                return sent == cut;
            }));
            run_turns(3);
            ::send(fd, request.data() + cut, request.size() - cut, MSG_NOSIGNAL);
            std::string answer;
            BOOST_REQUIRE(run_until([&] {
                std::array<char, 512> buf{};
                const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
                answer.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
                return answer.find("\r\n\r\nanswer") != std::string::npos;
            }));
            BOOST_TEST(bodies.back() == "hello", "cut after byte " << cut);
            ::close(fd);
        }
    }
    BOOST_TEST(bodies.size() == length.size() + chunks.size() - 2);
}

BOOST_AUTO_TEST_SUITE_END()
