// The real program with the stand-ins on loopback: effects, jobs and the ledger, through an outage of the
// platform and the loss of a node.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <tests/end_to_end/deployment.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;
using nlohmann::json;

namespace {

struct durable_fixture {
    deployment all;
    int requests = 0;

    http_response effect(const std::string& node, const std::string& key, const std::string& body = "1") {
        auto request = all.query(node, "billing", "caller", "request-" + std::to_string(++requests), body);
        request.headers.push_back("Idempotency-Key: " + key);
        return all.fetch(request);
    }
    http_response submit(const std::string& node) {
        auto request = all.query(node, "search", "caller", "request-" + std::to_string(++requests), "1");
        request.headers.emplace_back("X-Class: deferrable");
        return all.fetch(request);
    }
    void set_platform_down(bool down) {
        http_request request;
        request.method = "POST";
        request.url = all.platform_url() + "/faults";
        request.body = json{{"down", down}}.dump();
        all.fetch(request);
    }
    json job(const std::string& node, const std::string& id) {
        http_request request;
        request.url = "http://" + all.callers_address(node) + "/v1/jobs/" + id;
        return json::parse(all.fetch(request).body, nullptr, false);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(what_must_last)

BOOST_FIXTURE_TEST_CASE(effects_jobs_and_ledger_hold_through_an_outage_and_a_lost_node, durable_fixture) {
    const auto first = effect("entry-1", "k1");
    BOOST_TEST(first.status == 200);
    const auto repeat = effect("entry-2", "k1");
    BOOST_TEST(repeat.status == 200);
    BOOST_TEST((json::parse(first.body).at("hits") == json::parse(repeat.body).at("hits")));
    BOOST_TEST(effect("entry-3", "k1", "2").status == 409);

    const auto accepted = submit("entry-1");
    BOOST_REQUIRE(accepted.status == 202);
    const auto id = json::parse(accepted.body).at("job").get<std::string>();

    set_platform_down(true);
    const auto refused = effect("entry-2", "k2");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(json::parse(refused.body).at("ran") == "no");
    all.node("entry-1").signal(SIGKILL);
    set_platform_down(false);

    BOOST_TEST(all.run_until([&] { return job("entry-2", id).value("state", "") == "done"; }));
    BOOST_TEST(effect("entry-3", "k1").status == 200);
    BOOST_TEST(all.command({"jobs", "list", "--platform", all.platform_url()}) == 0);
    BOOST_TEST(all.command_output().find(id + " done") != std::string::npos);
    BOOST_TEST(all.command({"ledger", "verify", "--platform", all.platform_url()}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
