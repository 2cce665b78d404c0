// Cell records and messages are unchanged after encoding and decoding, and corrupted ones are rejected.
#include <skylarkseam/wire/cell_codec.hpp>
#include <skylarkseam/wire/cell_json.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;

namespace {

cell_record make_record() {
    cell_record record;
    record.holder = "n1";
    record.holder_incarnation = 4;
    record.holder_address = "127.0.0.1:1";
    record.token = "n1.4.1";
    record.owners.epoch = 9;
    record.owners.members = {{"n1", 4, "z1", "r", "127.0.0.1:1"}, {"n2", 7, "z2", "r", "127.0.0.1:2"}};
    record.owners.owner_of = {{"s1", "n1"}, {"s2", "n2"}, {"s3", "n1"}};
    record.handovers = {{"s2", "n3", 5, 9, microseconds(1'234'567)}};
    return record;
}

std::vector<cell_envelope> make_messages() {
    using namespace cell_message;
    const std::vector<cell_message_body> bodies{
        probe{1, 2},          heartbeat{1, 2, true},         renewed{9, 2, 3, make_record()},
        renewed{9, 2, 3, {}}, join{{"n", 1, "z", "r", "a"}}, vote_request{1, 2},
        vote{1, 2, true},     promise_request{1, 2},         promise{1, 2, true},
        released{1, {"s1"}},  release_received{{"s1", "s2"}}};
    std::vector<cell_envelope> messages;
    messages.reserve(bodies.size());
    for (const auto& it : bodies) {
        messages.push_back({"cell0", "n1", 4, "127.0.0.1:1", it});
    }
    return messages;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell_encodings)

BOOST_AUTO_TEST_CASE(a_decoded_record_equals_the_encoded_one) {
    const auto record = make_record();
    const auto decoded = decode_cell_record(encode_cell_record(record));
    BOOST_REQUIRE(decoded.has_value());
    const auto& it = decoded.value();
    BOOST_TEST(it.token == record.token);
    BOOST_TEST(it.holder_incarnation == 4U);
    BOOST_TEST((it.owners.members == record.owners.members));
    BOOST_TEST((it.owners.owner_of == record.owners.owner_of));
    BOOST_TEST((it.handovers == record.handovers));
}

BOOST_AUTO_TEST_CASE(every_kind_of_message_is_unchanged_after_decoding) {
    const auto bytes = encode(make_messages());
    const auto decoded = decode_cell_messages(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().size() == make_messages().size());
    BOOST_TEST((encode(decoded.value()) == bytes));
}

BOOST_AUTO_TEST_CASE(truncated_messages_are_rejected_and_corrupted_ones_decode_or_fail) {
    const auto bytes = encode(make_messages());
    pcg32 random(1);
    std::size_t rejected = 0;
    for (std::size_t it = 0; it < bytes.size(); ++it) {
        rejected += decode_cell_messages(std::string_view(bytes).substr(0, it)).has_error() ? 1U : 0U;
    }
    BOOST_TEST(rejected == bytes.size());
    for (int it = 0; it < 5000; ++it) {
        auto damaged = bytes;
        damaged[random(static_cast<std::uint32_t>(damaged.size()))] = static_cast<char>(random(256));
        const auto decoded = decode_cell_messages(damaged);
        BOOST_TEST((decoded.has_error() || decoded.value().size() <= bytes.size()));
    }
}

BOOST_AUTO_TEST_CASE(a_malformed_record_is_rejected) {
    for (const auto* text : {"", "[]", "{}", R"({"format":2})", R"({"format":1,"epoch":"x"})"}) {
        BOOST_TEST(decode_cell_record(text).has_error(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
