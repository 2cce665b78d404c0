// Decoding of bodies from searchers: valid answers are read, and malformed ones are rejected, so that a
// faulty searcher cannot pass invalid JSON on to callers.
#include <skylarkseam/wire/upstream_json.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;

namespace {

constexpr std::uint64_t mutation_seed = 11;
constexpr int mutations = 20'000;

const std::string valid_answer =
    R"({"request_id":"r","shard":3,"snapshot":9,"hits":[{"id":"a","score":2,"t":{"x":[1,null]}},{"score":0.5,"id":"é"}]})";

bool is_rejected(const std::string& body) {
    upstream_answer answer;
    return !decode_search_answer(body, answer) && answer.hits.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(searchers_answers)

BOOST_AUTO_TEST_CASE(the_answer_fields_and_the_full_json_of_each_hit_are_read) {
    upstream_answer answer;
    BOOST_REQUIRE(decode_search_answer(valid_answer, answer));
    BOOST_TEST(answer.request_id == "r");
    BOOST_TEST(answer.shard == 3U);
    BOOST_TEST(answer.snapshot == 9U);
    BOOST_REQUIRE(answer.hits.size() == 2U);
    BOOST_TEST(answer.hits[0].score == 2.0);
    BOOST_TEST(answer.hits[0].json == R"({"id":"a","score":2,"t":{"x":[1,null]}})");
    BOOST_TEST(answer.hits[1].id == "é");
}

BOOST_AUTO_TEST_CASE(a_malformed_answer_is_rejected_as_a_whole) {
    BOOST_TEST(is_rejected(R"([])"));
    BOOST_TEST(is_rejected(R"({"request_id":1,"shard":3,"snapshot":9,"hits":[]})"));
    BOOST_TEST(is_rejected(R"({"request_id":"r","shard":-3,"snapshot":9,"hits":[]})"));
    BOOST_TEST(is_rejected(R"({"request_id":"r","shard":4294967296,"snapshot":9,"hits":[]})"));
    BOOST_TEST(is_rejected(R"({"request_id":"r","shard":3,"snapshot":9})"));
    BOOST_TEST(is_rejected(R"({"request_id":"r","shard":3,"snapshot":9,"hits":[{"id":"a"}]})"));
    BOOST_TEST(is_rejected(R"({"request_id":"r","shard":3,"snapshot":9,"hits":[{"id":"a","score":1},7]})"));
    BOOST_TEST(
        is_rejected(R"({"request_id":"r","shard":3,"snapshot":9,"hits":[{"id":"a","score":1,"t":tru}]})"));
    BOOST_TEST(is_rejected(
        "{\"request_id\":\"r\",\"shard\":3,\"snapshot\":9,\"hits\":[{\"id\":\"\xC3\",\"score\":1}]}"));
}

BOOST_AUTO_TEST_CASE(only_valid_json_is_passed_on_from_mutated_answers) {
    pcg32 random(mutation_seed);
    int accepted = 0;
    for (int it = 0; it < mutations; ++it) {
        auto body = valid_answer;
        body[random(static_cast<std::uint32_t>(body.size()))] = static_cast<char>(random(256));
        upstream_answer answer;
        if (!decode_search_answer(body, answer)) {
            continue;
        }
        ++accepted;
        for (const auto& hit : answer.hits) {
            BOOST_TEST(nlohmann::json::accept(hit.json));
        }
    }
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < mutations);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(searchers_health)

BOOST_AUTO_TEST_CASE(an_unknown_state_is_read_as_cold) {
    const auto health =
        decode_health(R"({"state":"fine","boot_id":"b","shards":[{"shard":1,"snapshots":[9,8]}]})");
    BOOST_REQUIRE(health.has_value());
    BOOST_TEST((health.value().state == upstream_state::cold));
    BOOST_TEST(health.value().shards.at(0).snapshots.front() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
