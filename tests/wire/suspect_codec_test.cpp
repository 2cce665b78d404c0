// Reports of requests that crash searchers are unchanged after encoding and decoding, and corrupted bytes are
// decoded or rejected without a crash.
#include <skylarkseam/wire/suspect_codec.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;

namespace {

suspect_message sample() {
    return {
        "10.0.0.1:7740",
        true,
        {{"0f3a", {{"i-1", milliseconds(1200)}, {"i-2", {}}}, milliseconds(40)}, {"77", {}, std::nullopt}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(reports_between_gateways)

BOOST_AUTO_TEST_CASE(are_unchanged_after_decoding) {
    const auto decoded = decode_suspect_message(encode(sample()));
    BOOST_TEST_REQUIRE(decoded.has_value());
    const auto& it = decoded.value();
    BOOST_TEST(it.sender == "10.0.0.1:7740");
    BOOST_TEST(it.ask);
    BOOST_TEST_REQUIRE(it.reports.size() == 2U);
    BOOST_TEST(it.reports[0].fingerprint == "0f3a");
    BOOST_TEST(it.reports[0].ends.at(0).searcher == "i-1");
    BOOST_TEST((it.reports[0].ends.at(0).age == milliseconds(1200)));
    BOOST_TEST((it.reports[0].answered == milliseconds(40)));
    BOOST_TEST(it.reports[1].ends.empty());
    BOOST_TEST(!it.reports[1].answered.has_value());
}

BOOST_AUTO_TEST_CASE(have_no_negative_ages) {
    suspect_message message = sample();
    message.reports[0].ends[0].age = seconds(-5);
    const auto decoded = decode_suspect_message(encode(message));
    BOOST_TEST((decoded.value().reports[0].ends[0].age == duration::zero()));
}

BOOST_AUTO_TEST_CASE(are_rejected_or_decoded_when_corrupted) {
    const auto bytes = encode(sample());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        BOOST_TEST(!decode_suspect_message(std::string_view(bytes).substr(0, n)).has_value());
    }
    pcg32 random(7);
    for (int n = 0; n < 2000; ++n) {
        auto changed = bytes;
        changed[random(static_cast<std::uint32_t>(changed.size()))] = static_cast<char>(random(256));
        static_cast<void>(decode_suspect_message(changed));
    }
}

BOOST_AUTO_TEST_SUITE_END()
