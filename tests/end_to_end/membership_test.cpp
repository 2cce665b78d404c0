// Real nodes in one cell: a crash, a node that leaves, and a platform outage.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <set>
#include <tests/end_to_end/deployment.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;
using nlohmann::json;

namespace {

constexpr std::size_t searchers = 12;

struct cell_fixture {
    deployment all;
    int asked = 0;

    json membership(const std::string& node) {
        http_request request;
        request.url = "http://" + all.admin_address(node) + "/state";
        const auto state = json::parse(all.fetch(std::move(request)).body, nullptr, false);
        return state.is_object() ? state.value("membership", json::object()) : json::object();
    }

    /// Asks the nodes until the condition holds; false after many tries.
    bool wait_for(const std::function<bool()>& holds) {
        constexpr int most_tries = 2000;
        for (int it = 0; it < most_tries; ++it) {
            if (holds()) {
                return true;
            }
            pause();
        }
        return false;
    }

    void pause() {
        int turns = 0;
        all.run_until([&] { return ++turns > 3; });
    }

    /// Every searcher is served, and by one of the nodes only.
    bool all_served_by(const std::vector<std::string>& nodes) {
        std::multiset<std::string> served;
        for (const auto& node : nodes) {
            const auto state = membership(node);
            if (!state.contains("serving") || state.at("lease").at("full_ms") == 0) {
                return false;
            }
            for (const auto& it : state.at("serving")) {
                served.insert(it.get<std::string>());
            }
        }
        return served.size() == searchers && std::set(served.begin(), served.end()).size() == searchers;
    }

    /// A query is answered from every shard.
    bool answers_whole(const std::string& node) {
        const auto id = "request-" + std::to_string(++asked);
        const auto response = all.fetch(all.query(node, "search", "caller", id, R"({"text":"heron"})"));
        const auto body = json::parse(response.body, nullptr, false);
        return response.status == 200 && body.at("coverage").at("fraction") == 1.0;
    }

    void set_platform_down(bool down) {
        http_request request;
        request.method = "POST";
        request.url = all.platform_url() + "/faults";
        request.body = json{{"down", down}}.dump();
        all.fetch(std::move(request));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_cell_of_real_nodes)

BOOST_FIXTURE_TEST_CASE(a_killed_nodes_searchers_are_served_by_the_others, cell_fixture) {
    BOOST_REQUIRE(wait_for([&] { return all_served_by({"entry-1", "entry-2", "entry-3"}); }));
    const auto epoch = membership("entry-1").at("epoch").get<std::uint64_t>();
    all.node("entry-2").signal(SIGKILL);
    BOOST_TEST(wait_for([&] { return all_served_by({"entry-1", "entry-3"}); }));
    BOOST_TEST(membership("entry-1").at("epoch").get<std::uint64_t>() > epoch);
    BOOST_TEST(wait_for([&] { return answers_whole("entry-1"); }));
}

BOOST_FIXTURE_TEST_CASE(a_leaving_node_hands_its_searchers_over_and_exits, cell_fixture) {
    BOOST_REQUIRE(wait_for([&] { return all_served_by({"entry-1", "entry-2", "entry-3"}); }));
    all.node("entry-1").signal(SIGTERM);
    BOOST_TEST(all.node("entry-1").wait() == 0);
    BOOST_TEST((all.node("entry-1").output().find("event=cell_left") != std::string::npos));
    BOOST_TEST(wait_for([&] { return all_served_by({"entry-2", "entry-3"}); }));
}

BOOST_FIXTURE_TEST_CASE(a_platform_outage_freezes_the_owners_and_queries_go_on, cell_fixture) {
    const std::vector<std::string> nodes{"entry-1", "entry-2", "entry-3"};
    BOOST_REQUIRE(wait_for([&] { return all_served_by(nodes); }));
    const auto epoch = membership("entry-1").at("epoch");
    set_platform_down(true);
    BOOST_TEST(wait_for([&] { return membership("entry-1").at("lease").at("backed_by_promises") == true; }));
    for (const auto& it : nodes) {
        BOOST_TEST(answers_whole(it), it);
        BOOST_TEST((membership(it).at("epoch") == epoch));
    }
    set_platform_down(false);
    BOOST_TEST(wait_for([&] { return membership("entry-1").at("lease").at("backed_by_promises") == false; }));
    BOOST_TEST((membership("entry-1").at("epoch") == epoch));
    BOOST_TEST(wait_for([&] { return answers_whole("entry-3"); }));
}

BOOST_AUTO_TEST_SUITE_END()
