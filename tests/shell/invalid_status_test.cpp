// Answers of searchers whose status is none, on each way to a client of a gateway: one searcher, a second
// attempt, a query over shards. A client once got such an answer on another system; it never gets one here,
// nor its bytes.
#include "scripted_server.hpp"

#include <skylarkseam/shell/gateway_front.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

namespace {

constexpr const char* stray = "stray";
const std::vector<std::string> invalid_statuses{"000", "001", "099", "600", "999", "20", "2000", "+20"};

std::string answer_with(const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status + " OK\r\nX-Proof: p\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

struct statuses_fixture : loop_fixture {
    /// What the searchers answer, in the order in which they were added.
    std::deque<std::string> answers;
    std::deque<scripted_server> searchers;
    platform_binding binding{{"x-id", "x-left", "x-for", "x-not-run", "x-leaving", "x-limit", "x-incarnation",
                              "x-proof", "x-proofs", "x-missing", "/r"},
                             {},
                             {},
                             {},
                             {},
                             {}};
    metrics measured;
    extra_budget_limits extra{.ratio = 1.0, .slack = 10.0};
    gateway_front front{loop,
                        binding,
                        {1024, 8192, 64, 64},
                        1024,
                        {{"a", "north", {{"a", "north"}}}, {}, extra, 1},
                        [] { return duration::zero(); },
                        [](const auto&) {},
                        measured};
    std::string address = front.listen("127.0.0.1:0");
    http_client client{loop};

    /// \param services  the service of each searcher
    void start(const std::vector<std::string>& services, route_plan plan, repeatability repeat) {
        auto table = std::make_shared<routing_table>();
        table->version = 1;
        gateway_route route;
        route.name = "r";
        route.host = "127.0.0.1";
        route.prefix = "/";
        route.repeat = repeat;
        route.timeout = seconds(2);
        route.objective = seconds(1);
        route.max_attempts = 2;
        route.plan = std::move(plan);
        table->routes.push_back(route);
        for (const auto& it : services) {
            table->services[it] = {it, 8, 0.0};
        }
        front.set_table(table);
        for (const auto& service : services) {
            const auto n = answers.size();
            answers.emplace_back();
            searchers.emplace_back(
                loop, [this, n](const std::string&) { return scripted_server::reply{answers[n]}; });
            front.update([&](directory& it) {
                it.put({"i-" + std::to_string(n), service, searchers.back().address, "a", 4, false, {}, 1},
                       loop.now());
            });
        }
        front.set_listing_complete();
    }

    http_response fetch() {
        http_request request;
        request.url = "http://" + address + "/x";
        request.headers = {"X-Id: q" + std::to_string(++last_id_), "X-Left: 1500"};
        http_response response;
        bool done = false;
        client.send(std::move(request), [&](http_response it) {
            response = std::move(it);
            done = true;
        });
        BOOST_REQUIRE(run_until([&] { return done; }));
        return response;
    }

    [[nodiscard]] std::size_t arrivals() const {
        std::size_t n = 0;
        for (const auto& it : searchers) {
            n += it.requests.size();
        }
        return n;
    }

private:
    int last_id_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_answer_whose_status_is_none)

BOOST_AUTO_TEST_CASE(becomes_a_failure_that_promises_nothing) {
    for (const auto& status : invalid_statuses) {
        statuses_fixture it;
        it.start({"desk"}, single_service{"desk"}, repeatability::at_most_once);
        it.answers[0] = answer_with(status, stray);
        const auto response = it.fetch();
        BOOST_TEST(response.status == 502, status);
        BOOST_TEST(response.body.find(stray) == std::string::npos, status);
        BOOST_TEST(response.header("x-proof") == "", status);
        BOOST_TEST(it.arrivals() == 1U, status);
    }
}

BOOST_AUTO_TEST_CASE(becomes_a_failure_after_a_second_attempt_with_the_same) {
    for (const auto& status : invalid_statuses) {
        statuses_fixture it;
        it.start({"desk", "desk"}, single_service{"desk"}, repeatability::idempotent);
        it.answers[0] = it.answers[1] = answer_with(status, stray);
        const auto response = it.fetch();
        BOOST_TEST(response.status == 502, status);
        BOOST_TEST(response.body.find(stray) == std::string::npos, status);
        BOOST_TEST(it.arrivals() == 2U, status);
    }
}

BOOST_AUTO_TEST_CASE(is_replaced_by_that_of_a_second_attempt) {
    for (const auto& status : invalid_statuses) {
        for (const std::size_t bad : {0U, 1U}) {
            statuses_fixture it;
            it.start({"desk", "desk"}, single_service{"desk"}, repeatability::idempotent);
            it.answers[bad] = answer_with(status, stray);
            it.answers[1 - bad] = answer_with("200", "hello");
            const auto response = it.fetch();
            BOOST_TEST(response.status == 200, status);
            BOOST_TEST(response.body == "hello", status);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_left_out_of_the_answer_of_a_query_over_shards) {
    constexpr const char* first = "0123456789abcdef";
    constexpr const char* second = "1123456789abcdef";
    for (const auto& status : invalid_statuses) {
        statuses_fixture it;
        it.start({"s0", "s1", "s2"}, shard_set{{"s0", "s1", "s2"}, 10, 0.5}, repeatability::idempotent);
        it.answers[0] = answer_with("200", first);
        it.answers[1] = answer_with(status, "zzzzzzzzzzzzzzzz");
        it.answers[2] = answer_with("200", second);
        const auto response = it.fetch();
        BOOST_TEST(response.status == 200, status);
        BOOST_TEST(response.body == std::string(second) + first, status);
        BOOST_TEST(response.header("x-missing") == "1", status);
    }
}

BOOST_AUTO_TEST_CASE(of_too_many_shards_becomes_a_failure) {
    for (const auto& status : invalid_statuses) {
        statuses_fixture it;
        it.start({"s0", "s1"}, shard_set{{"s0", "s1"}, 10, 0.9}, repeatability::idempotent);
        it.answers[0] = answer_with("200", "0123456789abcdef");
        it.answers[1] = answer_with(status, "zzzzzzzzzzzzzzzz");
        const auto response = it.fetch();
        BOOST_TEST(response.status == 502, status);
        BOOST_TEST(response.body.find("zzzz") == std::string::npos, status);
    }
}

BOOST_AUTO_TEST_SUITE_END()
