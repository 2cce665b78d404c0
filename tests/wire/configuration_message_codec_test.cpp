// Configuration messages between nodes are unchanged after encoding and decoding, and malformed bytes are
// rejected.
#include <skylarkseam/wire/configuration_message_codec.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;
using namespace skylarkseam::configuration_message;

namespace {

const std::string digest_hash(32, 'a');

std::vector<any_configuration_message> samples() {
    return {digest{"node", "127.0.0.1:7000", 7, digest_hash},
            manifest_request{},
            manifest{7, "token", digest_hash, {"a", "b"}},
            parts_request{{"a"}},
            parts{{"text", std::string("\0\xff", 2)}},
            peers_request{},
            peers{{"127.0.0.1:1"}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_messages)

BOOST_AUTO_TEST_CASE(each_kind_of_message_is_unchanged_after_decoding) {
    for (const auto& it : samples()) {
        const auto bytes = encode(it);
        const auto read = decode_configuration_message(bytes);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read.value().index() == it.index());
        BOOST_TEST((encode(read.value()) == bytes));
    }
    const auto read = decode_configuration_message(encode(samples().front()));
    BOOST_TEST((std::get<digest>(read.value()) == std::get<digest>(samples().front())));
}

BOOST_AUTO_TEST_CASE(truncated_messages_are_rejected_and_corrupted_ones_decode_or_fail) {
    pcg32 random(30);
    for (const auto& it : samples()) {
        const auto bytes = encode(it);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            BOOST_TEST(decode_configuration_message(bytes.substr(0, n)).has_error());
        }
        for (int n = 0; n < 2000; ++n) {
            auto changed = bytes;
            changed[random(static_cast<std::uint32_t>(changed.size()))] = static_cast<char>(random(256));
            const auto read = decode_configuration_message(changed);
            BOOST_TEST((read.has_error() || encode(read.value()).size() <= 2 * bytes.size() + 16));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
