// Requests and answers that gateways pass on are unchanged after encoding and decoding, and corrupted bytes
// are decoded or rejected without a crash.
#include <skylarkseam/wire/msgpack_message.hpp>
#include <skylarkseam/wire/relay_codec.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;

namespace {

relay_request sample() {
    relay_request it;
    it.config_version = 7;
    it.time_left = milliseconds(1480);
    it.max_attempts = 3;
    it.method = "POST";
    it.target = "/a/b?x=%2f";
    it.path = "/a/b";
    it.headers = {{"host", "a.example"}, {"x-empty", ""}};
    it.body = std::string("\0\xff binary", 9);
    return it;
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests_passed_on_to_another_gateway)

BOOST_AUTO_TEST_CASE(are_unchanged_after_decoding) {
    const auto in = sample();
    const auto out = decode_relay_request(encode(in));
    BOOST_TEST_REQUIRE(out.has_value());
    BOOST_TEST(out.value().config_version == 7U);
    BOOST_TEST((out.value().time_left == milliseconds(1480)));
    BOOST_TEST(out.value().max_attempts == 3U);
    BOOST_TEST(out.value().method == in.method);
    BOOST_TEST(out.value().target == in.target);
    BOOST_TEST(out.value().path == in.path);
    BOOST_TEST(out.value().headers.at(1).name == "x-empty");
    BOOST_TEST(out.value().body == in.body);

    const auto decision = decode_relay_decision(encode(relay_decision{false, "draining"}));
    BOOST_TEST(!decision.value().accepted);
    BOOST_TEST(decision.value().reason == "draining");

    BOOST_TEST(decode_relay_question(encode(relay_question{9})).value().config_version == 9U);
    const auto offer = decode_relay_offer(encode(relay_offer{true, {{"10.0.0.1:7200", "a"}, {"", ""}}}));
    BOOST_TEST(offer.value().takes);
    BOOST_TEST(offer.value().others.size() == 2U);
    BOOST_TEST(offer.value().others.at(0).address == "10.0.0.1:7200");
    BOOST_TEST(offer.value().others.at(0).zone == "a");

    const auto answer = decode_relayed_answer(
        encode(gateway_answer::relayed{503, "text/plain", {{"Retry-After", "1"}}, "no"}));
    BOOST_TEST(answer.value().status == 503);
    BOOST_TEST(answer.value().content_type == "text/plain");
    BOOST_TEST(answer.value().headers.at(0).value == "1");
    BOOST_TEST(answer.value().body == "no");
}

BOOST_AUTO_TEST_CASE(keep_what_is_known_of_their_execution) {
    for (const auto state : {run_state::no, run_state::yes, run_state::unknown}) {
        for (const auto source :
             {execution_source::unstated, execution_source::gateway, execution_source::searcher}) {
            const auto out = decode_relayed_answer(
                encode(gateway_answer::relayed{503, "a/b", {{"X-A", "b"}}, "x", {state, source}}));
            BOOST_TEST_REQUIRE(out.has_value());
            BOOST_TEST((out.value().report.ran == state));
            BOOST_TEST((out.value().report.source == source));
        }
    }
}

namespace {

/// The answer as builds without a report encode it.
std::string without_report(int status) {
    return encode_message(4, [&](packer& to) {
        to.pack(status);
        to.pack(std::string("a/b"));
        to.pack_array(0);
        to.pack(std::string("x"));
    });
}

} // namespace

// Guards against an earlier build's 503 that counts as "not run": it may be a searcher's that has run the
// request.
BOOST_AUTO_TEST_CASE(may_have_run_if_their_answer_comes_from_a_build_that_does_not_say_it) {
    for (const int status : {200, 404, 503}) {
        const auto out = decode_relayed_answer(without_report(status));
        BOOST_TEST_REQUIRE(out.has_value());
        BOOST_TEST(out.value().status == status);
        BOOST_TEST(out.value().report.may_have_run());
        BOOST_TEST((out.value().report.source == execution_source::unstated));
    }
}

// Such builds read the first message of the frame.
BOOST_AUTO_TEST_CASE(are_read_by_builds_that_know_no_report) {
    const auto bytes = encode(gateway_answer::relayed{503, "a/b", {}, "x", {run_state::no}});
    BOOST_TEST(bytes.starts_with(without_report(503)));
    BOOST_TEST(decode_message<int>(bytes, 4, [](field_reader& from) { return from.next<int>(); }).value() ==
               503);
}

BOOST_AUTO_TEST_CASE(are_rejected_with_a_report_that_is_not_one) {
    const auto answer = without_report(503);
    for (const auto& report : std::vector<std::pair<int, int>>{{3, 0}, {0, 3}, {-1, 0}, {0, -1}}) {
        BOOST_TEST(!decode_relayed_answer(answer + encode_message(2,
                                                                  [&](packer& to) {
                                                                      to.pack(report.first);
                                                                      to.pack(report.second);
                                                                  }))
                        .has_value());
    }
    const auto whole = encode(gateway_answer::relayed{503, "a/b", {}, "x", {run_state::no}});
    for (auto n = answer.size() + 1; n < whole.size(); ++n) {
        BOOST_TEST(!decode_relayed_answer(std::string_view(whole).substr(0, n)).has_value());
    }
}

// An older build passes on what it got from a searcher.
BOOST_AUTO_TEST_CASE(are_rejected_where_a_client_could_not_take_the_answer) {
    for (const int status : {-1, 0, 99, 100, 101, 199, 600, 999}) {
        BOOST_TEST(
            !decode_relayed_answer(encode(gateway_answer::relayed{status, "a/b", {}, "x"})).has_value(),
            status);
    }
    for (const auto& it : std::vector<header_field>{{"", "b"},
                                                    {"X A", "b"},
                                                    {"X-A ", "b"},
                                                    {"X\x01", "b"},
                                                    {"X-A", "b\r\nX-B: c"},
                                                    {"X-A", "b\x01"}}) {
        BOOST_TEST(!decode_relayed_answer(encode(gateway_answer::relayed{200, "a/b", {it}, "x"})).has_value(),
                   it.name);
    }
    BOOST_TEST(
        !decode_relayed_answer(encode(gateway_answer::relayed{200, "a\r\nX-B: c", {}, "x"})).has_value());
    BOOST_TEST(
        decode_relayed_answer(encode(gateway_answer::relayed{200, "", {{"X-A", ""}}, ""})).has_value());
}

BOOST_AUTO_TEST_CASE(are_rejected_or_decoded_when_corrupted) {
    const auto bytes = encode(sample());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        BOOST_TEST(!decode_relay_request(std::string_view(bytes).substr(0, n)).has_value());
    }
    pcg32 random(7);
    for (int n = 0; n < 2000; ++n) {
        auto changed = bytes;
        changed[random(static_cast<std::uint32_t>(changed.size()))] = static_cast<char>(random(256));
        static_cast<void>(decode_relay_request(changed));
        static_cast<void>(decode_relayed_answer(changed));
    }
}

BOOST_AUTO_TEST_SUITE_END()
