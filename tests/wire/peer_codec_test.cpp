// Messages between nodes are unchanged after encoding and decoding, and malformed bytes from a peer are
// decoded or rejected without a crash.
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

BOOST_AUTO_TEST_CASE(a_batch_is_unchanged_after_decoding) {
    const auto batch = sample_batch();
    const auto decoded = decode_subquery_batch(encode(batch));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().coordinator == batch.coordinator);
    BOOST_TEST(decoded.value().remaining.count() == batch.remaining.count());
    BOOST_TEST((decoded.value().cls == request_class::urgent));
    BOOST_REQUIRE(decoded.value().subqueries.size() == 2U);
    BOOST_TEST(decoded.value().subqueries[1].searcher == "searcher-2");
    BOOST_TEST(decoded.value().subqueries[1].extra);
}

BOOST_AUTO_TEST_CASE(a_reply_is_unchanged_after_decoding) {
    const auto reply = sample_reply();
    const auto decoded = decode_subquery_reply(encode(reply));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().dispatch_sequence == 77U);
    BOOST_TEST(decoded.value().held == reply.held, boost::test_tools::per_element());
    BOOST_TEST(decoded.value().hits.at(0).json == reply.hits.at(0).json);
}

BOOST_AUTO_TEST_SUITE(malformed_messages)

BOOST_AUTO_TEST_CASE(another_version_is_rejected_with_its_own_error) {
    auto bytes = encode(sample_batch());
    bytes[1] = 2;
    const auto decoded = decode_subquery_batch(bytes);
    BOOST_REQUIRE(!decoded);
    BOOST_TEST(decoded.error().detail == "a message of another version");
}

BOOST_AUTO_TEST_CASE(a_message_of_another_kind_is_rejected) {
    const auto decoded = decode_subquery_batch(encode(sample_reply()));
    BOOST_REQUIRE(!decoded);
    BOOST_TEST((decoded.error().kind == error_kind::protocol_violation));
}

BOOST_AUTO_TEST_CASE(a_declared_count_beyond_the_length_of_the_message_is_rejected) {
    const std::string bytes = "\xDD\xFF\xFF\xFF\xFF";
    BOOST_TEST(!decode_subquery_batch(bytes));
}

BOOST_AUTO_TEST_CASE(mutated_bytes_are_decoded_or_rejected) {
    pcg32 random(mutation_seed);
    const auto batch = encode(sample_batch());
    const auto reply = encode(sample_reply());
    int rejected = 0;
    for (int it = 0; it < mutations; ++it) {
        rejected += decode_subquery_batch(mutated(batch, random)) ? 0 : 1;
        rejected += decode_subquery_reply(mutated(reply, random)) ? 0 : 1;
    }
    BOOST_TEST(rejected > mutations / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
