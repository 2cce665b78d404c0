// Messages between gateways are unchanged after encoding and decoding, and corrupted bytes are decoded or
// rejected without a crash.
#include <skylarkseam/wire/gateway_codec.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;

namespace {

follow_reply sample() {
    follow_reply reply;
    reply.view.sender = {"g1", "a", "10.0.0.1:7740"};
    reply.view.leaving = true;
    reply.view.members = {{{"g2", "a", "10.0.0.2:7740"}, milliseconds(300)}};
    reply.view.hosts_of_zone = {{"a", {3, {}}}, {"b", {2, milliseconds(900)}}};
    auto& update = reply.update;
    update.epoch = 9;
    update.sequence = 77;
    update.full = true;
    update.incarnation = 6;
    update.revisions = {1, 2, 3};
    update.registrations = {
        {"i-1", 5, searcher_record{"i-1", "s", "10.0.0.3:80", "a", 4, true, milliseconds(40), 12}, false},
        {"i-2", 6, std::nullopt, true}};
    update.evacuations = {{"b", 8, true}};
    update.routing = routing_source{4, "{}"};
    update.age = milliseconds(120);
    return reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages_between_gateways)

BOOST_AUTO_TEST_CASE(are_unchanged_after_decoding) {
    const auto in = sample();
    const auto out = decode_follow_reply(encode(in));
    BOOST_TEST_REQUIRE(out.has_value());
    const auto& it = out.value();
    BOOST_TEST((it.view.sender == in.view.sender));
    BOOST_TEST(it.view.leaving);
    BOOST_TEST((it.view.members.at(0).who == in.view.members[0].who));
    BOOST_TEST((it.view.hosts_of_zone.at("b").age == milliseconds(900)));
    BOOST_TEST(it.view.hosts_of_zone.at("a").hosts == 3U);
    BOOST_TEST(it.update.sequence == 77U);
    BOOST_TEST(it.update.full);
    BOOST_TEST(it.update.incarnation == 6U);
    BOOST_TEST((it.update.revisions == in.update.revisions));
    BOOST_TEST((it.update.registrations == in.update.registrations));
    BOOST_TEST((it.update.evacuations == in.update.evacuations));
    BOOST_TEST(it.update.routing->text == "{}");
    BOOST_TEST((it.update.age == milliseconds(120)));

    const follow_request request{in.view, {1, 2, 3, 4}, milliseconds(1500)};
    const auto decoded_request = decode_follow_request(encode(request));
    BOOST_TEST_REQUIRE(decoded_request.has_value());
    BOOST_TEST(decoded_request.value().position.sequence == 2U);
    BOOST_TEST(decoded_request.value().position.incarnation == 4U);

    const searchers_request searchers{{"g2", "a", "10.0.0.2:7740"}, {71, 6}, seconds(5)};
    const auto decoded_searchers = decode_searchers_request(encode(searchers));
    BOOST_TEST_REQUIRE(decoded_searchers.has_value());
    BOOST_TEST((decoded_searchers.value().sender == searchers.sender));
    BOOST_TEST(decoded_searchers.value().position.revision == 71U);
    BOOST_TEST(decoded_searchers.value().position.incarnation == 6U);
    BOOST_TEST((decoded_searchers.value().wait == seconds(5)));

    const auto update = decode_replica_update(encode(in.update));
    BOOST_TEST_REQUIRE(update.has_value());
    BOOST_TEST((update.value().registrations == in.update.registrations));
    BOOST_TEST((decoded_request.value().wait == milliseconds(1500)));
    BOOST_TEST(decode_group_view(encode(in.view)).has_value());
}

BOOST_AUTO_TEST_CASE(are_decoded_or_rejected_if_corrupted) {
    pcg32 random(5);
    int rejected = 0;
    for (int n = 0; n < 4000; ++n) {
        auto bytes = encode(sample());
        for (int change = 0; change < 3; ++change) {
            bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(random(256));
        }
        if (random(3) == 0) {
            bytes.resize(random(static_cast<std::uint32_t>(bytes.size())));
        }
        rejected += decode_follow_reply(bytes).has_value() ? 0 : 1;
        (void)decode_follow_request(bytes);
        (void)decode_group_view(bytes);
        (void)decode_searchers_request(bytes);
        (void)decode_replica_update(bytes);
    }
    BOOST_TEST(rejected > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
