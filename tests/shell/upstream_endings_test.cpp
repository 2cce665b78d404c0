// Connections to searchers that end at each byte of an answer: the answer counts as whole only if its framing
// says so, or if it has no length and its connection ended in order.
#include "answer_endings.hpp"
#include "scripted_server.hpp"

#include <skylarkseam/shell/upstream_pool.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace skylarkseam;

namespace {

constexpr std::size_t answer_limit = 1U << 16U;

struct upstream_endings_fixture : endings_fixture {
    std::map<upstream_call_id, upstream_result> results;
    upstream_pool pool{loop,
                       answer_limit,
                       [this](upstream_call_id id, upstream_result it) { results[id] = std::move(it); },
                       {}};

    void send(std::size_t n) {
        const auto text = request_body(n);
        upstream_call call;
        call.id = n + 1;
        call.address = server.address;
        call.request.bytes = "POST /" + std::to_string(n) +
                             " HTTP/1.1\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
                             text;
        call.connect_timeout = seconds(1);
        pool.send(std::move(call));
    }

    void play_and_check(std::vector<ending> chosen) {
        endings = std::move(chosen);
        results.clear();
        play([this](std::size_t n) { send(n); }, [this] { return results.size(); });
        for (std::size_t n = 0; n < endings.size(); ++n) {
            const auto& response = results.at(n + 1).response;
            const auto expected = endings[n].deliverable();
            const auto text = endings[n].text();
            BOOST_TEST(results.at(n + 1).sent, text);
            BOOST_TEST(response.has_value() == expected.has_value(), text);
            BOOST_TEST((!response || !expected || response->body == *expected), text);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_answer_of_a_searcher_whose_connection_ends, upstream_endings_fixture)

// Guards against a reset that a failed send() takes off the socket: recv() then reports an end in order, and
// a part of an answer without a length was delivered as a whole success.
BOOST_AUTO_TEST_CASE(is_whole_only_if_its_framing_or_its_end_says_so) {
    play_and_check(endings_at_each_byte(false));
}

BOOST_AUTO_TEST_CASE(is_whole_under_a_part_of_the_request_only_if_its_framing_or_its_end_says_so) {
    play_and_check(endings_at_each_byte(true));
}

// The connection is given up with ETIMEDOUT, since the searcher's window stays closed.
BOOST_AUTO_TEST_CASE(is_not_whole_if_the_searcher_stands_still_under_a_part_of_the_request) {
    play_and_check(endings_without_an_end());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(bytes_on_an_idle_connection, loop_fixture)

// Guards against an answer to a request of which no byte was sent: the end of the connection is found by the
// send() of that request, and what was read afterwards came before it.
BOOST_AUTO_TEST_CASE(answer_no_request_that_could_not_be_sent) {
    scripted_server server(loop, [](const std::string&) {
        return scripted_server::reply{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    });
    for (const std::string stray : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
                                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nstray"}) {
        std::map<upstream_call_id, upstream_result> results;
        upstream_pool pool(loop, answer_limit,
                           [&](upstream_call_id id, upstream_result it) { results[id] = std::move(it); }, {});
        const auto send = [&](upstream_call_id id) {
            upstream_call call;
            call.id = id;
            call.address = server.address;
            call.request.bytes = "GET / HTTP/1.1\r\n\r\n";
            call.connect_timeout = seconds(1);
            pool.send(std::move(call));
        };
        send(1);
        BOOST_REQUIRE(run_until([&] { return results.size() == 1; }));
        server.send_unasked(stray);
        server.reset_all();
        send(2);
        BOOST_REQUIRE(run_until([&] { return results.size() == 2; }));
        BOOST_TEST(!results.at(2).response.has_value());
        BOOST_TEST(!results.at(2).sent);
        run_turns(1); // The pool frees its ended connections in a later turn, and has to be there.
    }
}

BOOST_AUTO_TEST_SUITE_END()
