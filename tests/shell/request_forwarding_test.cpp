// How a searcher's response is read: what it says of itself, beside the answer.
#include <skylarkseam/shell/request_forwarding.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

http_dialect names() {
    http_dialect out;
    out.not_run = "x-refused";
    out.leaving = "x-leaving";
    out.rate_limit = "x-limit";
    out.proof = "x-proof";
    out.searcher_id = "x-searcher";
    return out;
}

attempt_result read(int status, std::vector<upstream_header> headers) {
    upstream_result result;
    result.sent = true;
    result.searcher = "i-1";
    result.response = upstream_response{status, std::move(headers), "body"};
    return to_attempt_result(std::move(result), names());
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_searchers_response)

BOOST_AUTO_TEST_CASE(may_announce_that_the_searcher_shuts_down) {
    BOOST_TEST(read(200, {{"X-Leaving", "1"}}).searcher_leaving);
    BOOST_TEST(read(503, {{"X-Leaving", "1"}, {"X-Refused", "1"}}).searcher_leaving);
    BOOST_TEST(!read(200, {{"X-Leaving", "0"}}).searcher_leaving);
    BOOST_TEST(!read(200, {}).searcher_leaving);
    BOOST_TEST(!read(421, {{"X-Leaving", "1"}}).searcher_leaving);
}

BOOST_AUTO_TEST_CASE(may_ask_for_no_requests_for_a_time) {
    const auto asked = read(503, {{"Retry-After", "2.5"}, {"X-Refused", "1"}});
    BOOST_TEST((asked.outcome == attempt_outcome::refused));
    BOOST_TEST((asked.back_off == milliseconds(2500)));
    BOOST_TEST((read(503, {{"Retry-After", "3"}}).back_off == seconds(3)));
    BOOST_TEST((read(503, {{"Retry-After", "0"}}).back_off == seconds(0)));
    BOOST_TEST(!read(200, {{"Retry-After", "3"}}).back_off.has_value());
    BOOST_TEST(!read(503, {}).back_off.has_value());
}

// Guards against a request that runs at two searchers, since a faulty one that has run it answers 421.
BOOST_AUTO_TEST_CASE(states_that_the_request_has_not_run_by_its_header_or_by_the_name_of_another_searcher) {
    for (const int status : {200, 400, 408, 421, 429, 500, 503}) {
        const auto marked = read(status, {{"X-Refused", "1"}}).outcome;
        BOOST_TEST((run_state_of(marked) == run_state::no), status);
        BOOST_TEST((run_state_of(read(status, {}).outcome) == run_state::unknown), status);
        const auto own = read(status, {{"X-Searcher", "i-1"}}).outcome;
        BOOST_TEST((run_state_of(own) == run_state::unknown), status);
        const auto other = read(status, {{"X-Searcher", "i-2"}}).outcome;
        BOOST_TEST((run_state_of(other) == run_state::no) == (status == 421), status);
    }
    BOOST_TEST((read(421, {{"X-Searcher", "i-2"}}).outcome == attempt_outcome::replaced));
    BOOST_TEST((read(421, {{"X-Refused", "1"}}).outcome == attempt_outcome::replaced));
    BOOST_TEST((run_state_of(read(421, {{"X-Searcher", ""}}).outcome) == run_state::unknown));
}

BOOST_AUTO_TEST_CASE(may_name_an_absurd_time) {
    for (const auto* const it :
         {"-1", "soon", "", "nan", "inf", "1e999", "Wed, 21 Oct 2026 07:28:00 GMT", "3s", "0x10"}) {
        BOOST_TEST(!read(503, {{"Retry-After", it}}).back_off.has_value(), it);
    }
    BOOST_TEST((read(503, {{"Retry-After", "1e12"}}).back_off == seconds(300)));
}

BOOST_AUTO_TEST_CASE(may_state_how_many_requests_a_second_it_accepts) {
    BOOST_TEST(read(200, {{"X-Limit", "29.3"}}).rate_limit.value() == 29.3);
    BOOST_TEST(read(503, {{"X-Limit", "0"}, {"X-Refused", "1"}}).rate_limit.value() == 0.0);
    BOOST_TEST(read(500, {{"X-Limit", "7"}}).rate_limit.value() == 7.0);
    BOOST_TEST(!read(200, {}).rate_limit.has_value());
    for (const auto* const it : {"-1", "many", "", "nan", "inf", "1e999", "3/s", "0x10"}) {
        BOOST_TEST(!read(200, {{"X-Limit", it}}).rate_limit.has_value(), it);
    }
    // An answer of another searcher at the same address says nothing of this one.
    BOOST_TEST(!read(421, {{"X-Limit", "7"}}).rate_limit.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_fingerprint_of_a_request)

BOOST_AUTO_TEST_CASE(names_what_a_client_sends_again) {
    incoming_request first;
    first.method = "POST";
    first.target = "/audit/3f?page=1";
    first.body = "label";
    first.headers = {{"host", "audit.example"}, {"x-id", "1"}, {"x-left", "8000"}};
    http_dialect dialect;
    dialect.request_id = "x-id";
    dialect.time_left = "x-left";
    const auto print = [&](const incoming_request& it) {
        return to_gateway_request(it, dialect).fingerprint;
    };

    auto repeated = first;
    repeated.headers = {{"host", "audit.example"}, {"x-id", "2"}, {"x-left", "4100"}};
    BOOST_TEST(print(repeated) == print(first));

    for (const auto change : {0, 1, 2, 3, 4}) {
        auto other = first;
        other.method = change == 0 ? "PUT" : other.method;
        other.target = change == 1 ? "/audit/3f?page=2" : other.target;
        other.body = change == 2 ? "labe" : other.body;
        if (change == 3) {
            other.headers.push_back({"authorization", "Bearer another-account"});
        } else if (change == 4) {
            other.headers.front().value = "other.example";
        }
        BOOST_TEST(print(other) != print(first), "change " << change);
    }
}

BOOST_AUTO_TEST_SUITE_END()
