// Messages between nodes: what is encoded comes back, and no bytes of a peer can do more than be refused.
#include <skylarkseam/wire/peer_codec.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;

namespace {

constexpr std::uint64_t mutation_seed = 7;
constexpr int mutations = 20'000;

subquery_batch sample_batch() {
    subquery_batch batch;
    batch.query = 42;
    batch.coordinator = "entry-1.7";
    batch.caller = "partner";
    batch.group = "search";
    batch.cls = request_class::urgent;
    batch.snapshot = 9;
    batch.remaining = milliseconds(180);
    batch.query_json = R"({"text":"iron"})";
    batch.limit = 10;
    batch.subqueries = {{3, 0, "searcher-1", false}, {4, 1, "searcher-2", true}};
    return batch;
}

subquery_reply sample_reply() {
    subquery_reply reply;
    reply.query = 42;
    reply.attempt = 1;
    reply.shard = 4;
    reply.snapshot = 9;
    reply.outcome = subquery_outcome::answered;
    reply.dispatch_sequence = 77;
    reply.queued = microseconds(120);
    reply.service = milliseconds(6);
    reply.held = {8, 9};
    reply.hits = {{"a", 2.5, R"({"id":"a","score":2.5})"}};
    return reply;
}

std::string mutated(std::string bytes, pcg32& random) {
    switch (random(3)) {
    case 0:
        bytes.resize(random(static_cast<std::uint32_t>(bytes.size())));
        break;
    case 1:
        bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(random(256));
        break;
    default:
        bytes.insert(random(static_cast<std::uint32_t>(bytes.size())), 1, static_cast<char>(random(256)));
        break;
    }
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_messages)

BOOST_AUTO_TEST_CASE(a_batch_comes_back_as_it_was) {
    const auto batch = sample_batch();
    const auto back = decode_subquery_batch(encode(batch));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back.value().coordinator == batch.coordinator);
    BOOST_TEST(back.value().remaining.count() == batch.remaining.count());
    BOOST_TEST((back.value().cls == request_class::urgent));
    BOOST_REQUIRE(back.value().subqueries.size() == 2U);
    BOOST_TEST(back.value().subqueries[1].searcher == "searcher-2");
    BOOST_TEST(back.value().subqueries[1].extra);
}

BOOST_AUTO_TEST_CASE(a_reply_comes_back_as_it_was) {
    const auto reply = sample_reply();
    const auto back = decode_subquery_reply(encode(reply));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back.value().dispatch_sequence == 77U);
    BOOST_TEST(back.value().held == reply.held, boost::test_tools::per_element());
    BOOST_TEST(back.value().hits.at(0).json == reply.hits.at(0).json);
}

BOOST_AUTO_TEST_SUITE(from_a_peer_that_misbehaves)

BOOST_AUTO_TEST_CASE(another_version_is_refused_by_name) {
    auto bytes = encode(sample_batch());
    bytes[1] = 2;
    const auto back = decode_subquery_batch(bytes);
    BOOST_REQUIRE(!back);
    BOOST_TEST(back.error().detail == "a message of another version");
}

BOOST_AUTO_TEST_CASE(a_message_of_another_kind_is_refused) {
    const auto back = decode_subquery_batch(encode(sample_reply()));
    BOOST_REQUIRE(!back);
    BOOST_TEST((back.error().kind == error_kind::protocol_violation));
}

BOOST_AUTO_TEST_CASE(a_count_far_beyond_the_bytes_is_refused) {
    const std::string bytes = "\xDD\xFF\xFF\xFF\xFF";
    BOOST_TEST(!decode_subquery_batch(bytes));
}

BOOST_AUTO_TEST_CASE(mutated_bytes_are_decoded_or_refused) {
    pcg32 random(mutation_seed);
    const auto batch = encode(sample_batch());
    const auto reply = encode(sample_reply());
    int refused = 0;
    for (int it = 0; it < mutations; ++it) {
        refused += decode_subquery_batch(mutated(batch, random)) ? 0 : 1;
        refused += decode_subquery_reply(mutated(reply, random)) ? 0 : 1;
    }
    BOOST_TEST(refused > mutations / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
