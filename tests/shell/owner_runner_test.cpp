// The owner's runner against a searcher: what its HTTP answers mean for the slots.
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/owner_runner.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

namespace {

/// A searcher with one slot that answers a search only when the test or a cancellation says so.
struct owner_fixture : loop_fixture {
    std::map<std::string, respond> searches; ///< open ones, by request id
    int cancelled = 0;
    http_server searcher{
        loop, {}, [this](const incoming_request& request, const respond& answer) { take(request, answer); }};
    std::string address = searcher.listen("127.0.0.1:0");
    http_client client{loop};
    metrics measured;
    owner_runner runner{loop, client, measured, "node", {milliseconds(500), 1}};
    std::vector<subquery_reply> replies;

    owner_fixture() {
        loop.pause_clock();
        auto config = std::make_shared<configuration>();
        config->generation = 1;
        config->zones["a"] = {"a", service_state::in};
        auto& group = config->groups["group"];
        group.name = "group";
        group.searchers = {{"searcher", address, "a", {0}, service_state::in}};
        runner.set_configuration(config);
        const auto until = loop.now() + seconds(3600);
        runner.set_authority({until, until});
        runner.set_owned({"searcher"}, true);
    }

    void take(const incoming_request& request, const respond& answer) {
        if (request.path == "/health") {
            answer({200,
                    R"({"state":"warm","boot_id":"b","shards":[{"shard":0,"snapshots":[1]}]})",
                    "application/json",
                    {}});
        } else if (request.method == "POST") {
            searches[request.header("x-request-id")] = answer;
        } else {
            ++cancelled;
            const auto it = searches.find(request.segments().back());
            it->second({499, "{}", "application/json", {}});
            searches.erase(it);
            answer({200, "{}", "application/json", {}});
        }
    }

    void submit(query_id query) {
        subquery_batch batch;
        batch.query = query;
        batch.coordinator = "coordinator";
        batch.caller = "caller";
        batch.group = "group";
        batch.snapshot = 1;
        batch.remaining = seconds(30);
        batch.query_json = "1";
        batch.limit = 1;
        batch.subqueries = {{0, 0, "searcher", false}};
        runner.submit(std::move(batch),
                      [this](subquery_reply reply, bool) { replies.push_back(std::move(reply)); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(slots_of_a_searcher, owner_fixture)

BOOST_AUTO_TEST_CASE(a_second_request_waits_while_the_one_slot_is_taken) {
    submit(1);
    BOOST_REQUIRE(run_until([this] { return searches.size() == 1; }));
    submit(2);
    run_turns(20);
    BOOST_TEST(searches.size() == 1U);
}

BOOST_AUTO_TEST_CASE(beyond_the_queue_length_a_callers_request_is_refused_as_not_run) {
    submit(1);
    BOOST_REQUIRE(run_until([this] { return searches.size() == 1; }));
    submit(2);
    submit(3);
    BOOST_REQUIRE(run_until([this] { return replies.size() == 1; }));
    BOOST_TEST(replies.front().query == 3U);
    BOOST_TEST((replies.front().outcome == subquery_outcome::not_run_refused));
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_gives_its_slot_back_when_the_searcher_has_ended_it) {
    submit(1);
    BOOST_REQUIRE(run_until([this] { return searches.size() == 1; }));
    runner.cancel({1, {0}, "coordinator"});
    BOOST_REQUIRE(run_until([this] { return cancelled == 1; }));
    submit(2);
    BOOST_TEST(run_until([this] { return searches.size() == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_refusal_of_a_searcher)

// Guards against a searcher that has run a request, fails and answers 503: an effect was taken for not run.
BOOST_AUTO_TEST_CASE(counts_as_not_run_only_if_the_searcher_says_so) {
    const std::map<int, subquery_outcome> refusals{{503, subquery_outcome::not_run_shed},
                                                   {409, subquery_outcome::snapshot_not_held},
                                                   {410, subquery_outcome::shard_not_held}};
    const auto outcome_of = [](int status, const std::string& body) {
        owner_fixture it; // A refusal changes what the owner sends to the searcher.
        it.submit(1);
        BOOST_REQUIRE(it.run_until([&] { return it.searches.size() == 1; }));
        it.searches.begin()->second({status, body, "application/json", {}});
        BOOST_REQUIRE(it.run_until([&] { return it.replies.size() == 1; }));
        return it.replies.front().outcome;
    };
    for (const auto& [status, stated] : refusals) {
        for (const std::string body :
             {"", "{}", "[]", "overloaded", R"({"ran":"yes"})", R"({"ran":"unknown"})", R"({"ran":0})",
              R"({"ran":"never"})", R"({"error":"overloaded"})"}) {
            BOOST_TEST((outcome_of(status, body) == subquery_outcome::failed), status << " " << body);
        }
        BOOST_TEST((outcome_of(status, R"({"error":"x","ran":"no","detail":""})") == stated), status);
    }
    BOOST_TEST((outcome_of(500, R"({"ran":"no"})") == subquery_outcome::failed));
}

BOOST_AUTO_TEST_SUITE_END()
