// A node whose searcher answers with a status line that is none, and with hits that would be good otherwise:
// the subquery has failed, and counts neither as answered nor as not run.
#include "scripted_server.hpp"

#include <skylarkseam/shell/owner_runner.hpp>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

namespace {

/// The slot of a request without a sound answer stays taken for so long, since the searcher may be running
/// it.
constexpr duration time_limit = milliseconds(400);

std::string with_length(const std::string& status_line, const std::string& body) {
    return status_line +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string field_of(const std::string& request, const std::string& name) {
    const auto at = request.find("\r\n" + name + ": ");
    const auto begin = at + name.size() + 4;
    return at == std::string::npos ? std::string()
                                   : request.substr(begin, request.find("\r\n", begin) - begin);
}

struct malformed_searcher_fixture : loop_fixture {
    std::string status_line;
    int searches = 0;
    scripted_server searcher{loop, [this](const std::string& request) { return answer_to(request); }};
    http_client client{loop};
    metrics measured;
    owner_runner runner{loop, client, measured, "node", {milliseconds(500), 1}};
    std::optional<subquery_reply> reply;
    query_id last_query = 0;

    malformed_searcher_fixture() {
        auto config = std::make_shared<configuration>();
        config->generation = 1;
        config->zones["a"] = {"a", service_state::in};
        auto& group = config->groups["group"];
        group.name = "group";
        group.searchers = {{"searcher", searcher.address, "a", {0}, service_state::in}};
        runner.set_configuration(config);
        const auto until = loop.now() + seconds(3600);
        runner.set_authority({until, until});
        runner.set_owned({"searcher"}, true);
    }

    scripted_server::reply answer_to(const std::string& request) {
        if (request.starts_with("GET /health")) {
            return {with_length("HTTP/1.1 200 OK",
                                R"({"state":"warm","boot_id":"b","shards":[{"shard":0,"snapshots":[1]}]})")};
        }
        ++searches;
        const auto id = field_of(request, "X-Request-Id");
        return {
            with_length(status_line, R"({"request_id":")" + id + R"(","shard":0,"snapshot":1,"hits":[]})")};
    }

    const subquery_reply& ask(const std::string& with) {
        status_line = with;
        reply.reset();
        subquery_batch batch;
        batch.query = ++last_query;
        batch.coordinator = "coordinator";
        batch.caller = "caller";
        batch.group = "group";
        batch.snapshot = 1;
        batch.remaining = time_limit;
        batch.query_json = "1";
        batch.limit = 1;
        batch.subqueries = {{0, 0, "searcher", false}};
        runner.submit(std::move(batch), [this](subquery_reply it, bool) { reply = std::move(it); });
        BOOST_REQUIRE(run_until([this] { return reply.has_value(); }));
        return *reply;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_searcher_of_a_node, malformed_searcher_fixture)

BOOST_AUTO_TEST_CASE(whose_status_is_none_has_not_answered_and_may_have_run) {
    BOOST_TEST((ask("HTTP/1.1 200 OK").outcome == subquery_outcome::answered));
    for (const auto* const line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
          "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK"}) {
        const auto before = searches;
        const auto& it = ask(line);
        BOOST_TEST((it.outcome == subquery_outcome::failed), line << ": " << name_of(it.outcome));
        BOOST_TEST(it.hits.empty(), line);
        BOOST_TEST(!it.detail.empty(), line);
        BOOST_TEST(searches == before + 1, line);
        const auto free_again = loop.now() + 2 * time_limit;
        run_until([&] { return loop.now() >= free_again; });
        BOOST_TEST((ask("HTTP/1.1 200 OK").outcome == subquery_outcome::answered), line);
    }
}

BOOST_AUTO_TEST_SUITE_END()
