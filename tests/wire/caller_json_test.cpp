// Tests of the JSON bodies exchanged with callers.
#include <skylarkseam/wire/caller_json.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

std::string error_detail_of(const std::string& body) {
    query_request request;
    const auto read = decode_query_body(body, {}, request);
    return read ? std::string() : read.error().detail;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_bodies)

BOOST_AUTO_TEST_CASE(query_json_keeps_the_value_sent_by_the_caller) {
    query_request request;
    BOOST_REQUIRE(decode_query_body(R"({"query": {"text": "é"}, "limit": 5})", {}, request));
    BOOST_TEST(request.query_json == "{\"text\":\"é\"}");
    BOOST_TEST(request.limit == 5U);
}

BOOST_AUTO_TEST_CASE(each_error_in_a_query_body_has_its_own_message) {
    BOOST_TEST(error_detail_of("{\"query\":") == "the body is not valid JSON in UTF-8");
    BOOST_TEST(error_detail_of("{\"query\":\"\xC3\"}") == "the body is not valid JSON in UTF-8");
    BOOST_TEST(error_detail_of("[]") == "the body must be an object with a \"query\"");
    BOOST_TEST(error_detail_of(R"({"query":1,"limt":2})") == "the body has an unknown field \"limt\"");
    BOOST_TEST(error_detail_of(R"({"query":1,"limit":0})") == "\"limit\" must be from 1 to 1000");
    BOOST_TEST(error_detail_of(R"({"query":1,"limit":1001})") == "\"limit\" must be from 1 to 1000");
    BOOST_TEST(error_detail_of(R"({"query":1,"limit":-1})") ==
               "\"limit\" must be a whole number of 1 or more");
}

BOOST_AUTO_TEST_CASE(an_answer_contains_snapshot_coverage_and_hits) {
    query_answer answer;
    answer.snapshot = 7;
    answer.covered = {3, 4, {2}};
    answer.hits = {{"a", 2.0, R"({"id":"a","score":2.0})"}, {"b", 1.0, R"({"id":"b","score":1.0})"}};
    BOOST_TEST(
        encode_answer("r\"1", answer, "{}") ==
        R"({"request_id":"r\"1","snapshot":7,"coverage":{"fraction":0.75,"searched":3,"total":4,"missing":[2]},)"
        R"("hits":[{"id":"a","score":2.0},{"id":"b","score":1.0}],"receipt":{}})");
}

BOOST_AUTO_TEST_CASE(a_blank_answer_is_completed_for_each_request_that_it_answers) {
    query_answer answer;
    answer.snapshot = 7;
    answer.hits = {{"a", 2.0, R"({"id":"a","text":"{}}"})"}};
    const auto blank = encode_blank_answer(answer);
    const auto receipt = std::string(R"({"sequence":5})");
    BOOST_TEST(complete_answer(blank, "r\"1", receipt) == encode_answer("r\"1", answer, receipt));
    BOOST_TEST(complete_answer(R"({"kept":1})", "r1", receipt) == R"({"kept":1})");
}

BOOST_AUTO_TEST_CASE(an_error_body_states_whether_the_request_ran) {
    BOOST_TEST(encode_error(make_error(error_kind::overloaded, "queue full")) ==
               R"({"error":"overloaded","ran":"no","detail":"queue full"})");
}

BOOST_AUTO_TEST_SUITE_END()
