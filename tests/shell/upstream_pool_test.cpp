// Connections to searchers that misbehave: whatever they send, each request gets its own whole answer or
// none, and is never sent twice.
#include "scripted_server.hpp"

#include <skylarkseam/shell/upstream_pool.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

namespace {

constexpr std::size_t body_limit = 1U << 16U;

std::string answer(const std::string& body, const std::string& headers = {}) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" +
           body;
}

struct pool_fixture : loop_fixture {
    std::function<scripted_server::reply(const std::string&)> script = [](const auto&) {
        return scripted_server::reply{answer("hello")};
    };
    scripted_server server{loop, [this](const std::string& request) { return script(request); }};
    std::map<upstream_call_id, upstream_result> results;
    std::vector<upstream_call_id> sending; ///< calls whose connections have opened
    upstream_pool pool{loop, body_limit,
                       [this](upstream_call_id id, upstream_result result) {
                           BOOST_TEST(results.count(id) == 0U);
                           results[id] = std::move(result);
                       },
                       [this](upstream_call_id id) { sending.push_back(id); }};
    upstream_call_id last = 0;
    bool sent_at_once = false; ///< the last call

    duration settle_time{};

    upstream_call_id send(const std::string& echo = "r1") {
        upstream_call call;
        call.id = ++last;
        call.address = server.address;
        call.request = {"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", false, "x-request-id", echo};
        call.connect_timeout = seconds(1);
        call.settle_time = settle_time;
        sent_at_once = pool.send(std::move(call));
        return last;
    }

    const upstream_result& fetch(const std::string& echo = "r1") {
        const auto id = send(echo);
        BOOST_REQUIRE(run_until([&] { return results.count(id) > 0; }));
        return results.at(id);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_pool_of_upstream_connections, pool_fixture)

BOOST_AUTO_TEST_CASE(keeps_a_connection_for_the_next_request) {
    BOOST_TEST(fetch().response->body == "hello");
    BOOST_TEST(fetch().response->body == "hello");
    BOOST_TEST(server.accepted == 1);
}

BOOST_AUTO_TEST_CASE(tells_a_lost_connection_from_a_wrong_answer_and_from_an_address_without_a_process) {
    script = [](const auto&) { return scripted_server::reply{"", false, true}; };
    BOOST_TEST((fetch().fault == connection_fault::lost));
    script = [](const auto&) { return scripted_server::reply{"HTTP/1.1 200 OK\r\nContent-Le", true}; };
    BOOST_TEST((fetch().fault == connection_fault::lost));
    script = [](const auto&) { return scripted_server::reply{"no answer at all\r\n\r\n"}; };
    const auto& wrong = fetch();
    BOOST_TEST(wrong.sent);
    BOOST_TEST((wrong.fault == connection_fault::other));

    upstream_call call;
    call.id = ++last;
    call.address = unused_address();
    call.request = {"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", false, "x-request-id", "r1"};
    call.connect_timeout = seconds(1);
    pool.send(std::move(call));
    BOOST_REQUIRE(run_until([&] { return results.count(last) > 0; }));
    BOOST_TEST(!results.at(last).sent);
    BOOST_TEST((results.at(last).fault == connection_fault::refused));
}

BOOST_AUTO_TEST_CASE(tells_when_a_request_goes_out_that_waited_for_its_connection) {
    const auto first = send();
    BOOST_TEST(!sent_at_once);
    BOOST_TEST(sending.empty());
    BOOST_REQUIRE(run_until([&] { return results.count(first) > 0; }));
    BOOST_TEST((sending == std::vector{first}));
    const auto second = send();
    BOOST_TEST(sent_at_once);
    BOOST_REQUIRE(run_until([&] { return results.count(second) > 0; }));
    BOOST_TEST((sending == std::vector{first}));
}

BOOST_AUTO_TEST_CASE(says_nothing_of_a_request_that_is_cancelled_while_its_connection_opens) {
    pool.cancel(send());
    run_turns(10);
    BOOST_TEST(sending.empty());
    BOOST_TEST(server.requests.empty());
}

BOOST_AUTO_TEST_CASE(uses_no_connection_beyond_the_time_that_its_peer_states) {
    // The last connection to an address goes as the next request looks for one.
    script = [](const auto&) { return scripted_server::reply{answer("hello", "Keep-Alive: timeout=0\r\n")}; };
    for (int n = 1; n <= 50; ++n) {
        BOOST_TEST(fetch().response->body == "hello");
        BOOST_TEST(server.accepted == n);
    }
}

BOOST_AUTO_TEST_SUITE(that_watches_new_connections_first)

BOOST_AUTO_TEST_CASE(sends_nothing_on_one_that_its_peer_resets) {
    settle_time = milliseconds(20);
    server.reset_new_connections = true;
    const auto& result = fetch();
    BOOST_TEST(!result.response.has_value());
    BOOST_TEST(!result.sent);
    BOOST_TEST(server.requests.empty());
    BOOST_TEST(sending.empty());
}

BOOST_AUTO_TEST_CASE(sends_on_one_that_stays_open_and_keeps_it) {
    settle_time = milliseconds(5);
    BOOST_TEST(fetch().response->body == "hello");
    BOOST_TEST(sending.size() == 1U);
    BOOST_TEST(fetch().response->body == "hello");
    BOOST_TEST(server.accepted == 1);
    BOOST_TEST(sending.size() == 1U);
}

BOOST_AUTO_TEST_CASE(sends_nothing_for_a_call_that_is_cancelled_meanwhile) {
    settle_time = milliseconds(20);
    const auto id = send();
    BOOST_REQUIRE(run_until([&] { return server.accepted == 1; }));
    pool.cancel(id);
    run_turns(60);
    BOOST_TEST(server.requests.empty());
    BOOST_TEST(results.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_peer_closes)

BOOST_AUTO_TEST_CASE(an_idle_connection_opens_another) {
    script = [](const auto&) { return scripted_server::reply{answer("hello"), true, false}; };
    fetch();
    run_turns(5);
    BOOST_TEST(fetch().response->body == "hello");
    BOOST_TEST(server.accepted == 2);
}

BOOST_AUTO_TEST_CASE(under_a_request_never_sends_it_again) {
    fetch();
    script = [](const auto&) { return scripted_server::reply{"", false, true}; };
    const auto& result = fetch();
    BOOST_TEST(!result.response.has_value());
    BOOST_TEST(result.sent);
    run_turns(20);
    BOOST_TEST(server.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(in_the_middle_of_an_answer_gives_none) {
    script = [](const auto&) {
        return scripted_server::reply{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhel", true, false};
    };
    BOOST_TEST(!fetch().response.has_value());
}

BOOST_AUTO_TEST_CASE(at_the_end_of_an_answer_without_length_gives_it_whole) {
    script = [](const auto&) { return scripted_server::reply{"HTTP/1.1 200 OK\r\n\r\nwhole", true, false}; };
    BOOST_TEST(fetch().response->body == "whole");
    script = [](const auto&) { return scripted_server::reply{"HTTP/1.1 200 OK\r\n\r\npart", false, true}; };
    BOOST_TEST(!fetch().response.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_peer_confuses_answers)

BOOST_AUTO_TEST_CASE(takes_none_that_names_another_request) {
    script = [](const auto&) { return scripted_server::reply{answer("other", "X-Request-Id: r9\r\n")}; };
    const auto& result = fetch("r1");
    BOOST_TEST(!result.response.has_value());
    BOOST_TEST(result.detail.find("r9") != std::string::npos);
    run_turns(5);
    script = [](const auto&) { return scripted_server::reply{answer("own", "X-Request-Id: r2\r\n")}; };
    BOOST_TEST(fetch("r2").response->body == "own");
    BOOST_TEST(server.accepted == 2);
}

BOOST_AUTO_TEST_CASE(uses_no_connection_again_that_had_bytes_nobody_asked_for) {
    script = [](const auto&) { return scripted_server::reply{answer("one") + answer("extra")}; };
    BOOST_TEST(fetch().response->body == "one");
    script = [](const auto&) { return scripted_server::reply{answer("two")}; };
    BOOST_TEST(fetch().response->body == "two");
    BOOST_TEST(server.accepted == 2);
    server.send_unasked(answer("late"));
    run_turns(10);
    BOOST_TEST(fetch().response->body == "two");
    BOOST_TEST(server.accepted == 3);
}

BOOST_AUTO_TEST_CASE(skips_interim_responses) {
    script = [](const auto&) {
        return scripted_server::reply{"HTTP/1.1 100 Continue\r\n\r\n" + answer("final")};
    };
    BOOST_TEST(fetch().response->body == "final");
}

BOOST_AUTO_TEST_CASE(takes_no_bytes_that_are_no_answer) {
    pcg32 random(11);
    int whole = 0;
    for (int n = 0; n < 300; ++n) {
        auto bytes = answer("body", "X-Request-Id: r1\r\n");
        for (int change = 0; change < 4; ++change) {
            bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(random(256));
        }
        script = [&](const auto&) { return scripted_server::reply{bytes, true, false}; };
        const auto& result = fetch();
        whole += result.response ? 1 : 0;
    }
    BOOST_TEST(whole < 300);
    script = [](const auto&) { return scripted_server::reply{answer("fine")}; };
    BOOST_TEST(fetch().response->body == "fine");
}

BOOST_AUTO_TEST_CASE(takes_no_body_beyond_its_limit) {
    script = [](const auto&) {
        return scripted_server::reply{answer(std::string(body_limit + 1, 'x')), true, false};
    };
    BOOST_TEST(!fetch().response.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(reports_an_address_without_a_listener_as_not_sent) {
    upstream_call call;
    call.id = ++last;
    call.address = "127.0.0.1:1";
    call.connect_timeout = seconds(1);
    pool.send(std::move(call));
    BOOST_REQUIRE(run_until([&] { return results.count(last) > 0; }));
    BOOST_TEST(!results.at(last).sent);
}

BOOST_AUTO_TEST_CASE(closes_the_connection_of_a_cancelled_request) {
    script = [](const auto&) { return scripted_server::reply{}; };
    const auto id = send();
    BOOST_REQUIRE(run_until([&] { return server.requests.size() == 1U; }));
    pool.cancel(id);
    run_turns(10);
    BOOST_TEST(results.empty());
    BOOST_TEST(pool.counters().connections == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
