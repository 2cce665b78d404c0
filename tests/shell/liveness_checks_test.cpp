// Liveness requests to searchers: ones that answer, ones that do not, and addresses without a process.
#include "scripted_server.hpp"

#include <skylarkseam/shell/liveness_checks.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

namespace {

struct liveness_fixture : loop_fixture {
    std::map<std::uint64_t, check_result> results;
    std::optional<upstream_response> last_answer;
    liveness_checks checks{loop, "x-for", [this](std::uint64_t id, check_result result, auto answer) {
                               results[id] = result;
                               last_answer = std::move(answer);
                           }};

    void start(std::uint64_t id, const std::string& address) {
        checks.start({id, address, "i-1", seconds(5), "/alive", seconds(5)});
        BOOST_TEST(results.count(id) == 0U);
    }

    check_result check(const std::string& address) {
        start(1, address);
        BOOST_REQUIRE(run_until([&] { return results.count(1) > 0; }));
        return results.at(1);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_liveness_check, liveness_fixture)

BOOST_AUTO_TEST_CASE(takes_any_answer_for_a_sign_of_life) {
    scripted_server searcher(loop, [](const std::string&) {
        return scripted_server::reply{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"};
    });
    BOOST_TEST((check(searcher.address) == check_result::answered));
    BOOST_TEST_REQUIRE(searcher.requests.size() == 1U);
    BOOST_TEST(searcher.requests[0].starts_with("GET /alive HTTP/1.1\r\n"));
    BOOST_TEST(searcher.requests[0].find("Host: " + searcher.address) != std::string::npos);
    BOOST_TEST(searcher.requests[0].find("x-for: i-1\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(hands_on_what_the_answer_states) {
    scripted_server searcher(loop, [](const std::string&) {
        return scripted_server::reply{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nRetry-After: 4\r\n\r\n"};
    });
    check(searcher.address);
    BOOST_TEST_REQUIRE(last_answer.has_value());
    BOOST_TEST(last_answer->status == 503);
    BOOST_TEST(*last_answer->header("Retry-After") == "4");
}

BOOST_AUTO_TEST_CASE(takes_no_connection_for_a_sign_of_life) {
    scripted_server mute(loop, [](const std::string&) { return scripted_server::reply{}; });
    loop.pause_clock();
    start(1, mute.address);
    BOOST_REQUIRE(run_until([&] { return !mute.requests.empty(); }));
    run_turns(5);
    BOOST_TEST(results.empty());
    loop.advance(milliseconds(5001));
    BOOST_REQUIRE(run_until([&] { return results.count(1) > 0; }));
    BOOST_TEST((results.at(1) == check_result::silent));
}

BOOST_AUTO_TEST_CASE(takes_a_connection_that_is_reset_for_silence) {
    scripted_server resetting(loop, [](const std::string&) {
        return scripted_server::reply{"", false, true};
    });
    BOOST_TEST((check(resetting.address) == check_result::silent));
}

BOOST_AUTO_TEST_CASE(finds_that_no_process_listens) {
    BOOST_TEST((check(unused_address()) == check_result::refused));
    results.clear();
    BOOST_TEST((check("not an address") == check_result::no_answer));
}

BOOST_AUTO_TEST_CASE(ends_with_its_owner) {
    scripted_server searcher(loop, [](const std::string&) {
        return scripted_server::reply{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    });
    int called = 0;
    {
        liveness_checks others(loop, "x-for", [&](std::uint64_t, check_result, const auto&) { ++called; });
        others.start({1, searcher.address, "i-1", seconds(5), "/alive", seconds(5)});
        run_turns(3);
    }
    run_turns(20);
    BOOST_TEST(called <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
