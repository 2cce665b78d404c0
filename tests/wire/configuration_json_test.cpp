// Encoding of the configuration stored in the platform: decoding returns the encoded configuration and
// validates it again.
#include "sample_configuration.hpp"

#include <skylarkseam/core/content_hash.hpp>
#include <skylarkseam/wire/configuration_json.hpp>
#include <skylarkseam/wire/configuration_yaml.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

configuration sample() {
    auto config = parse_configuration({{"a.yaml", sample_yaml}}).value;
    config.generation = 7;
    return config;
}

/// Returns the sample with so many searchers that its text exceeds the size of one platform value.
configuration large_sample() {
    auto config = sample();
    auto& group = config.groups.at("radio");
    const auto first = group.searchers.front();
    constexpr int added_searchers = 4000;
    for (int n = 0; n < added_searchers; ++n) {
        auto it = first;
        it.name = "many-" + std::to_string(n);
        it.address = "127.0.0.1:" + std::to_string(10'000 + n);
        group.searchers.push_back(it);
    }
    return config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_values)

BOOST_AUTO_TEST_CASE(a_decoded_body_equals_the_encoded_configuration) {
    const auto config = sample();
    const auto body = encode_configuration(config);
    const auto decoded = decode_configuration_text(body, config.generation);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded.value() == config));
    BOOST_TEST(encode_configuration(*decoded.value()) == body);
}

BOOST_AUTO_TEST_CASE(a_body_is_validated_when_it_is_decoded) {
    auto config = sample();
    config.services.at("billing").group = "nowhere";
    const auto decoded = decode_configuration_text(encode_configuration(config), 1);
    BOOST_REQUIRE(decoded.has_error());
    BOOST_TEST((decoded.error().kind == error_kind::invalid_configuration));
    BOOST_TEST(decoded.error().detail ==
               "service billing: upstream_group: there is no upstream_group 'nowhere'");
}

BOOST_AUTO_TEST_CASE(a_decoded_head_equals_the_encoded_one) {
    const auto head = make_configuration_head(sample(), "token");
    const auto& codec = json_configuration_codec();
    const auto decoded = codec.decode_head(codec.encode_head(head));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value() == head));
    BOOST_TEST(head.hash == content_hash(head.body));
}

BOOST_AUTO_TEST_CASE(a_long_body_is_split_into_pieces_below_the_size_limit_of_the_platform) {
    constexpr std::size_t platform_limit = 1'000'000;
    const auto config = large_sample();
    const auto head = make_configuration_head(config, "token");
    const auto& codec = json_configuration_codec();
    BOOST_TEST(head.body.empty());
    BOOST_TEST(head.pieces.size() > 1U);
    BOOST_TEST(codec.encode_head(head).size() < platform_limit);
    std::string joined;
    for (const auto& it : split_into_pieces(encode_configuration(config))) {
        const auto value = codec.encode_piece(it);
        BOOST_TEST(value.size() < platform_limit);
        joined += codec.decode_piece(value).value();
    }
    BOOST_TEST(content_hash(joined) == head.hash);
}

BOOST_AUTO_TEST_CASE(malformed_heads_and_pieces_are_rejected) {
    const auto& codec = json_configuration_codec();
    for (const auto* it : {"", "null", "[]", "{}", R"({"format":2})", R"({"format":1,"generation":0})",
                           R"({"format":1,"generation":-1,"token":"t"})",
                           R"({"format":1,"generation":1,"token":"t","hash":"xy","body":"[]"})",
                           R"({"format":1,"generation":1,"token":"t","hash":7,"pieces":{"a":1}})"}) {
        BOOST_TEST(codec.decode_head(it).has_error(), it);
        BOOST_TEST(codec.decode_piece(it).has_error(), it);
    }
}

BOOST_AUTO_TEST_SUITE_END()
