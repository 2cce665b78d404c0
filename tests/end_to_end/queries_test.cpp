// The real program with the stand-ins on loopback: what callers get.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <standin/hits.hpp>
#include <tests/end_to_end/deployment.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;
using nlohmann::json;

namespace {

std::vector<shard_id> all_shards() {
    std::vector<shard_id> shards;
    for (shard_id it = 0; it < deployment_size{}.shards; ++it) {
        shards.push_back(it);
    }
    return shards;
}

/// Checks a 200 answer against what the searchers' function says; the faults, empty when it is right.
std::string faults_in(const json& answer, const std::string& request_id, const std::string& query_json) {
    if (answer.at("request_id") != request_id) {
        return "another request's answer";
    }
    if (answer.at("coverage").at("fraction") != 1.0) {
        return "coverage " + answer.at("coverage").dump();
    }
    const auto expected = standin::merged_hits(standin::canonical_query(query_json), all_shards(),
                                               answer.at("snapshot").get<snapshot_id>(), 10);
    std::vector<standin::expected_hit> got;
    for (const auto& it : answer.at("hits")) {
        got.push_back({it.at("id").get<std::string>(), it.at("score").get<double>()});
    }
    return got == expected ? std::string() : "wrong hits";
}

struct queries_fixture {
    deployment all;
    int answered = 0;
    int refused = 0;
    std::vector<std::string> faults;

    /// Sends a query whose text is its own, and checks the answer when it comes.
    void ask(const std::string& node, int number) {
        const auto id = "request-" + std::to_string(number);
        const auto text = R"({"text":"item )" + std::to_string(number) + "\"}";
        const auto caller = "caller-" + std::to_string(number % 5);
        all.send(
            all.query(node, "search", caller, id, text), [this, id, text](const http_response& response) {
                if (response.status == 503) {
                    ++refused;
                    return;
                }
                ++answered;
                const auto body = json::parse(response.body, nullptr, false);
                const auto fault = response.status == 200 && !body.is_discarded() ? faults_in(body, id, text)
                                                                                  : "status " + response.body;
                if (!fault.empty()) {
                    faults.push_back(id + ": " + fault);
                }
            });
    }

    void check_no_faults() const {
        for (const auto& it : faults) {
            BOOST_ERROR(it);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_deployment_of_three_nodes)

BOOST_FIXTURE_TEST_CASE(two_hundred_queries_at_once_each_get_exactly_their_own_answer, queries_fixture) {
    constexpr int queries = 200;
    for (int it = 0; it < queries; ++it) {
        ask("entry-" + std::to_string(it % 3 + 1), it);
    }
    BOOST_REQUIRE(all.run_until([&] { return answered + refused == queries; }));
    check_no_faults();
    BOOST_TEST(refused == 0);
}

BOOST_FIXTURE_TEST_CASE(what_callers_send_wrongly_is_refused_by_name_and_harms_nobody, queries_fixture) {
    auto without_caller = all.query("entry-1", "search", "c", "r", "1");
    without_caller.headers = {"X-Request-Id: r"};
    const auto no_caller = all.fetch(without_caller);
    BOOST_TEST(no_caller.status == 400);
    BOOST_TEST(no_caller.body.find("X-Caller") != std::string::npos);

    const auto unknown = all.fetch(all.query("entry-1", "serach", "c", "r", "1"));
    BOOST_TEST(unknown.status == 404);
    BOOST_TEST(unknown.body.find("unknown_service") != std::string::npos);

    auto broken = all.query("entry-1", "search", "c", "r", "1");
    broken.body = R"({"query": )";
    BOOST_TEST(all.fetch(broken).status == 400);

    auto keyless = all.fetch(all.query("entry-1", "billing", "c", "r", "1"));
    BOOST_TEST(keyless.status == 400);
    BOOST_TEST(keyless.body.find("Idempotency-Key") != std::string::npos);

    ask("entry-1", 1);
    BOOST_REQUIRE(all.run_until([&] { return answered == 1; }));
    check_no_faults();
}

BOOST_FIXTURE_TEST_CASE(a_node_that_is_told_to_stop_answers_what_it_has_and_exits_cleanly, queries_fixture) {
    constexpr int queries = 60;
    for (int it = 0; it < queries; ++it) {
        ask("entry-2", it);
    }
    all.node("entry-2").signal(SIGTERM);
    BOOST_REQUIRE(all.run_until([&] { return answered + refused == queries; }));
    check_no_faults();
    BOOST_TEST(refused == 0);
    BOOST_TEST(all.node("entry-2").wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
