// The bodies of searchers: what is taken from them, and what no searcher can make the owner believe.
#include <skylarkseam/wire/upstream_json.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;

namespace {

constexpr std::uint64_t mutation_seed = 11;
constexpr int mutations = 20'000;

const std::string good =
    R"({"request_id":"r","shard":3,"snapshot":9,"hits":[{"id":"a","score":2,"t":{"x":[1,null]}},{"score":0.5,"id":"é"}]})";

bool refused(const std::string& body) {
    upstream_answer answer;
    return !decode_search_answer(body, answer) && answer.hits.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(searchers_answers)

BOOST_AUTO_TEST_CASE(the_envelope_and_each_whole_hit_are_taken) {
    upstream_answer answer;
    BOOST_REQUIRE(decode_search_answer(good, answer));
    BOOST_TEST(answer.request_id == "r");
    BOOST_TEST(answer.shard == 3U);
    BOOST_TEST(answer.snapshot == 9U);
    BOOST_REQUIRE(answer.hits.size() == 2U);
    BOOST_TEST(answer.hits[0].score == 2.0);
    BOOST_TEST(answer.hits[0].json == R"({"id":"a","score":2,"t":{"x":[1,null]}})");
    BOOST_TEST(answer.hits[1].id == "é");
}

BOOST_AUTO_TEST_CASE(what_has_the_wrong_shape_is_refused_whole) {
    BOOST_TEST(refused(R"([])"));
    BOOST_TEST(refused(R"({"request_id":1,"shard":3,"snapshot":9,"hits":[]})"));
    BOOST_TEST(refused(R"({"request_id":"r","shard":-3,"snapshot":9,"hits":[]})"));
    BOOST_TEST(refused(R"({"request_id":"r","shard":4294967296,"snapshot":9,"hits":[]})"));
    BOOST_TEST(refused(R"({"request_id":"r","shard":3,"snapshot":9})"));
    BOOST_TEST(refused(R"({"request_id":"r","shard":3,"snapshot":9,"hits":[{"id":"a"}]})"));
    BOOST_TEST(refused(R"({"request_id":"r","shard":3,"snapshot":9,"hits":[{"id":"a","score":1},7]})"));
    BOOST_TEST(refused(R"({"request_id":"r","shard":3,"snapshot":9,"hits":[{"id":"a","score":1,"t":tru}]})"));
    BOOST_TEST(refused(
        "{\"request_id\":\"r\",\"shard\":3,\"snapshot\":9,\"hits\":[{\"id\":\"\xC3\",\"score\":1}]}"));
}

BOOST_AUTO_TEST_CASE(of_mutated_bytes_only_valid_json_is_passed_on) {
    pcg32 random(mutation_seed);
    int taken = 0;
    for (int it = 0; it < mutations; ++it) {
        auto body = good;
        body[random(static_cast<std::uint32_t>(body.size()))] = static_cast<char>(random(256));
        upstream_answer answer;
        if (!decode_search_answer(body, answer)) {
            continue;
        }
        ++taken;
        for (const auto& hit : answer.hits) {
            BOOST_TEST(nlohmann::json::accept(hit.json));
        }
    }
    BOOST_TEST(taken > 0);
    BOOST_TEST(taken < mutations);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(searchers_health)

BOOST_AUTO_TEST_CASE(an_unknown_state_counts_as_cold) {
    const auto health =
        decode_health(R"({"state":"fine","boot_id":"b","shards":[{"shard":1,"snapshots":[9,8]}]})");
    BOOST_REQUIRE(health.has_value());
    BOOST_TEST((health.value().state == upstream_state::cold));
    BOOST_TEST(health.value().shards.at(0).snapshots.front() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
