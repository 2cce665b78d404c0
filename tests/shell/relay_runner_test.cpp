// Two gateways on loopback, one of which reaches no searcher: its clients' requests go to the other one.
#include "scripted_server.hpp"

#include <skylarkseam/shell/gateway_front.hpp>
#include <skylarkseam/shell/http_client.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

namespace {

platform_binding names() {
    platform_binding out;
    out.dialect.request_id = "x-id";
    out.dialect.time_left = "x-left";
    out.dialect.expected_id = "x-for";
    out.dialect.not_run = "x-not-run";
    out.dialect.proof = "x-proof";
    return out;
}

/// One gateway with the ends of its streams to the others.
struct gateway_side {
    platform_binding binding = names();
    metrics measured;
    gateway_front front;
    peer_client out;
    peer_server in;
    relay_runner relay;
    std::string address;
    std::string peer_address;

    gateway_side(event_loop& loop, const std::string& searcher, std::uint64_t version,
                 duration objective = seconds(1))
        : front(
              loop, binding, {1U << 20U, 8192, 64, 64}, 1U << 20U,
              {{"a", "north", {{"a", "north"}}}, {}, {}, 1}, [] { return duration::zero(); },
              [](const auto&) {}, measured)
        , out(loop, {})
        , in(loop, {})
        , relay(out, in, front.relay_side())
        , address(front.listen("127.0.0.1:0"))
        , peer_address(in.listen("127.0.0.1:0")) {
        front.use_relay(relay);
        relay.start();
        auto table = std::make_shared<routing_table>();
        table->version = version;
        table->services["desk"] = {"desk", 8, 0.0, "/alive"};
        gateway_route route;
        route.name = "r";
        route.host = "127.0.0.1";
        route.prefix = "/";
        route.repeat = repeatability::at_most_once;
        route.timeout = seconds(2);
        route.objective = objective;
        route.max_attempts = 2;
        route.plan = single_service{"desk"};
        table->routes.push_back(route);
        front.set_table(table);
        front.update([&](directory& it) {
            it.put({"i-1", "desk", searcher, "a", 4, false, {}, 1}, loop.now());
        });
        front.set_listing_complete();
    }
};

struct relay_fixture : loop_fixture {
    std::vector<std::string> runs;
    std::string answer =
        "HTTP/1.1 201 Made\r\nContent-Length: 5\r\nX-Proof: p\r\nContent-Type: a/b\r\n\r\nhello";
    scripted_server searcher{loop, [this](const std::string& request) {
                                 runs.push_back(request);
                                 return scripted_server::reply{answer};
                             }};
    gateway_side cut{loop, unused_address(), 3};
    gateway_side sound{loop, searcher.address, 3};
    http_client client{loop};

    relay_fixture() { cut.front.decisions().set_peers({{sound.peer_address, "a"}}); }

    http_request request(const std::string& id) const {
        http_request out;
        out.method = "POST";
        out.url = "http://" + cut.address + "/x?y=%2f";
        out.headers = {"X-Id: " + id, "X-Left: 1500", "X-Kept: as it is"};
        out.body = std::string("\0body", 5);
        return out;
    }

    http_response fetch(const std::string& id) {
        http_response response;
        client.send(request(id), [&](const http_response& it) { response = it; });
        BOOST_REQUIRE(run_until([&] { return response.status != 0; }));
        return response;
    }

    /// Liveness requests of the other gateway arrive as well.
    [[nodiscard]] std::ptrdiff_t count_runs() const {
        return std::count_if(runs.begin(), runs.end(),
                             [](const auto& it) { return it.starts_with("POST /x?y=%2f"); });
    }

    /// Whether the other gateway uses its searcher again, after a fault that has ended.
    bool is_served_again() {
        constexpr int most_tries = 30;
        for (int n = 0; n < most_tries; ++n) {
            if (fetch("again").status == 201) {
                return true;
            }
            for (const auto until = loop.now() + milliseconds(150); loop.now() < until;) {
                loop.run_once(milliseconds(10));
            }
        }
        return false;
    }

    void lose_searchers() {
        // Requests that cannot be sent show it.
        for (int n = 0; n < 20 && !cut.front.decisions().reach().cut_off(); ++n) {
            BOOST_TEST(fetch("before").status == 503);
            run_turns(5);
        }
        BOOST_REQUIRE(cut.front.decisions().reach().cut_off());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_gateway_that_reaches_no_searcher, relay_fixture)

BOOST_AUTO_TEST_CASE(passes_requests_on_and_their_answers_back_unchanged) {
    lose_searchers();
    const auto response = fetch("q7");
    BOOST_TEST(response.status == 201);
    BOOST_TEST(response.body == "hello");
    BOOST_TEST(response.header("x-proof") == "p");
    BOOST_TEST(response.header("content-type") == "a/b");
    BOOST_TEST_REQUIRE(runs.size() == 1U);
    BOOST_TEST(runs[0].starts_with("POST /x?y=%2f HTTP/1.1\r\n"));
    BOOST_TEST(runs[0].find("x-id: q7\r\n") != std::string::npos);
    BOOST_TEST(runs[0].find("x-kept: as it is\r\n") != std::string::npos);
    BOOST_TEST(runs[0].ends_with(std::string("\0body", 5)));
    const auto at = runs[0].find("x-left: ");
    const auto left = std::stoi(runs[0].substr(at + 8));
    BOOST_TEST(left > 1000);
    BOOST_TEST(left <= 1500);
}

BOOST_AUTO_TEST_CASE(passes_requests_on_if_the_path_to_the_searchers_accepts_connections_and_is_mute) {
    scripted_server mute(loop, [](const std::string&) { return scripted_server::reply{}; });
    gateway_side behind(loop, mute.address, 3, milliseconds(100));
    behind.front.decisions().set_peers({{sound.peer_address, "a"}});
    int answered = 0;
    for (int n = 0; n < 3; ++n) {
        auto it = request("mute" + std::to_string(n));
        it.url = "http://" + behind.address + "/x";
        client.send(it, [&](const http_response&) { ++answered; });
    }
    BOOST_REQUIRE(run_until([&] { return behind.front.decisions().reach().cut_off(); }));
    http_response response;
    auto it = request("later");
    it.url = "http://" + behind.address + "/x";
    client.send(it, [&](const http_response& last) { response = last; });
    BOOST_REQUIRE(run_until([&] { return response.status != 0; }));
    BOOST_TEST(response.status == 201);
}

BOOST_AUTO_TEST_CASE(finds_one_that_another_gateway_names) {
    gateway_side declining(loop, unused_address(), 2); // Its configuration is older.
    peer_server old_build(loop, {});                   // It does not serve questions.
    const auto old_address = old_build.listen("127.0.0.1:0");
    declining.front.decisions().set_peers({{sound.peer_address, "a"}});
    cut.front.decisions().set_peers({{declining.peer_address, "a"}, {old_address, "a"}});
    lose_searchers();
    int tries = 0;
    while (fetch("q" + std::to_string(tries)).status != 201 && tries < 20) {
        ++tries;
        run_turns(10);
    }
    BOOST_TEST(tries < 20);
    for (int n = 20; n < 25; ++n) {
        BOOST_TEST(fetch("q" + std::to_string(n)).status == 201);
    }
}

BOOST_AUTO_TEST_CASE(refuses_if_the_other_one_is_stopping_or_knows_an_older_configuration) {
    lose_searchers();
    sound.front.drain();
    const auto response = fetch("q8");
    BOOST_TEST(response.status == 503);
    BOOST_TEST(!response.header("retry-after").empty());

    gateway_side older(loop, searcher.address, 2);
    cut.front.decisions().set_peers({{older.peer_address, "a"}});
    BOOST_TEST(fetch("q9").status == 503);
    BOOST_TEST(runs.empty());
}

BOOST_AUTO_TEST_CASE(withdraws_a_request_whose_client_has_gone) {
    lose_searchers();
    answer.clear(); // The searcher does not answer.
    const auto id = client.send(request("q10"), [](const http_response&) {});
    BOOST_REQUIRE(run_until([&] { return runs.size() == 1; }));
    BOOST_TEST(sound.front.open_requests() == 1U);
    client.abort(id);
    BOOST_TEST(run_until([&] { return sound.front.decisions().open_requests() == 0; }));
    BOOST_TEST(run_until([&] { return sound.front.open_requests() == 0; }));
}

BOOST_AUTO_TEST_CASE(passes_no_answer_back_whose_status_is_none) {
    lose_searchers();
    const auto good = answer;
    for (const std::string status : {"000", "001", "099", "600", "999", "20", "2000", "+20"}) {
        answer = good;
        BOOST_REQUIRE(is_served_again());
        runs.clear();
        answer = "HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\nX-Proof: p\r\n\r\nstray";
        const auto response = fetch("s" + status);
        BOOST_TEST(response.status == 502, status << " got " << response.status);
        BOOST_TEST(response.body.find("stray") == std::string::npos, status);
        BOOST_TEST(response.header("x-proof") == "", status);
        BOOST_TEST(count_runs() == 1, status);
    }
}

// Guards against a searcher's 503 for a request that it has run: the request went on to a third gateway, and
// ran there as well.
BOOST_AUTO_TEST_CASE(passes_no_request_on_again_that_a_searcher_of_the_other_one_has_run) {
    gateway_side third(loop, searcher.address, 3);
    cut.front.decisions().set_peers({{sound.peer_address, "a"}, {third.peer_address, "a"}});
    lose_searchers();
    const auto good = answer;
    for (const std::string status : {"408", "421", "429", "503"}) {
        answer = good;
        BOOST_REQUIRE(is_served_again());
        runs.clear();
        answer = "HTTP/1.1 " + status + " Failed\r\nContent-Length: 0\r\nX-Proof: p\r\n\r\n";
        const auto response = fetch("f" + status);
        BOOST_TEST(response.status == 502, status << " got " << response.status);
        BOOST_TEST(response.header("x-proof") == "", status);
        BOOST_TEST(count_runs() == 1, status);
    }
}

BOOST_AUTO_TEST_CASE(refuses_as_not_run_what_the_searchers_of_the_others_refuse) {
    lose_searchers();
    answer = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n\r\n";
    const auto response = fetch("q12");
    BOOST_TEST(response.status == 503);
    BOOST_TEST(!response.header("retry-after").empty());
}

BOOST_AUTO_TEST_CASE(tells_that_the_outcome_is_unknown_if_the_other_one_ends) {
    lose_searchers();
    answer.clear();
    auto other = std::make_unique<gateway_side>(loop, searcher.address, 3);
    cut.front.decisions().set_peers({{other->peer_address, "a"}});
    http_response response;
    client.send(request("q11"), [&](const http_response& it) { response = it; });
    BOOST_REQUIRE(run_until([&] { return runs.size() == 1; }));
    run_turns(5);
    other.reset();
    BOOST_REQUIRE(run_until([&] { return response.status != 0; }));
    BOOST_TEST(response.status == 502);
}

BOOST_AUTO_TEST_SUITE_END()
