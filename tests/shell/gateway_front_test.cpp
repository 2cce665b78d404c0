// The clients' side of a gateway on real sockets: answers are counted as open until they are written.
#include "scripted_server.hpp"

#include <skylarkseam/shell/gateway_front.hpp>

#include <boost/test/unit_test.hpp>

#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

namespace {

struct front_fixture : loop_fixture {
    scripted_server searcher{loop, [](const std::string&) {
                                 return scripted_server::reply{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                                               "X-Proof: p\r\n\r\nhello"};
                             }};
    platform_binding binding{{"x-id", "x-left", "x-for", "x-not-run", "x-leaving", "x-limit", "x-incarnation",
                              "x-proof", "x-proofs", "x-missing", "/r"},
                             {},
                             {},
                             {},
                             {},
                             {}};
    metrics measured;
    gateway_front front{loop,
                        binding,
                        {1024, 8192, 64, 64},
                        1024,
                        {{"a", "north", {{"a", "north"}}}, {}, {}, 1},
                        [] { return duration::zero(); },
                        [](const auto&) {},
                        measured};
    std::string address = front.listen("127.0.0.1:0");
    http_client client{loop};

    front_fixture() {
        auto table = std::make_shared<routing_table>();
        table->version = 1;
        table->services["desk"] = {"desk", 8, 0.0};
        gateway_route route;
        route.name = "r";
        route.host = "127.0.0.1";
        route.prefix = "/";
        route.timeout = seconds(2);
        route.objective = seconds(1);
        route.plan = single_service{"desk"};
        table->routes.push_back(route);
        front.set_table(table);
        front.update([&](directory& it) {
            it.put({"i-1", "desk", searcher.address, "a", 4, false, {}, 1}, loop.now());
        });
        front.set_listing_complete();
    }

    http_request request() const {
        http_request out;
        out.url = "http://" + address + "/x?y=%2f";
        out.headers = {"X-Id: q1"};
        return out;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_clients_side_of_a_gateway, front_fixture)

BOOST_AUTO_TEST_CASE(forwards_a_request_and_its_answer_unchanged) {
    http_response response;
    client.send(request(), [&](const http_response& it) { response = it; });
    BOOST_REQUIRE(run_until([&] { return response.status != 0; }));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == "hello");
    BOOST_TEST(response.header("x-proof") == "p");
    BOOST_TEST(searcher.requests.at(0).find("GET /x?y=%2f HTTP/1.1\r\n") == 0U);
    BOOST_TEST(searcher.requests.at(0).find("x-for: i-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(counts_a_request_as_open_until_its_answer_is_written) {
    bool answered = false;
    client.send(request(), [&](const http_response&) { answered = true; });
    BOOST_REQUIRE(run_until([&] { return front.open_requests() == 1; }));
    // Whenever nothing is open any more, the answer is on its way: the process may end.
    BOOST_REQUIRE(run_until([&] { return front.open_requests() == 0; }));
    front.refuse_new();
    BOOST_TEST(front.decisions().open_requests() == 0U);
    BOOST_TEST(run_until([&] { return answered; }));
}

// Guards against requests that are taken late in a planned stop and cut off at its end.
BOOST_AUTO_TEST_CASE(refuses_requests_on_open_connections_once_the_process_is_about_to_end) {
    http_response before;
    http_response after;
    client.send(request(), [&](const http_response& it) { before = it; });
    BOOST_REQUIRE(run_until([&] { return before.status != 0; }));
    front.drain();
    front.refuse_new();
    client.send(request(), [&](const http_response& it) { after = it; });
    BOOST_REQUIRE(run_until([&] { return after.status != 0; }));
    BOOST_TEST(after.status == 503);
    BOOST_TEST(after.header("connection") == "close");
    BOOST_TEST(!after.header("retry-after").empty());
    BOOST_TEST(searcher.requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
