// Fuzz test with seeded mutations of valid inputs: each decoder either accepts the input or reports a fault,
// and never crashes.
#include "sample_configuration.hpp"

#include <skylarkseam/wire/configuration_json.hpp>
#include <skylarkseam/wire/configuration_yaml.hpp>
#include <skylarkseam/wire/settings_yaml.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;
using namespace std::string_view_literals;

namespace {

constexpr int rounds = 3000;

/// Applies up to four random changes: truncates, overwrites, repeats, deletes or inserts bytes.
std::string mutate(std::string text, pcg32& random) {
    static constexpr std::string_view bytes = "\xff\xc3{}[]:,-&*!|>'\"\n\t\0 09eE.#%@`~?"sv;
    const auto changes = 1 + random(4);
    for (std::uint32_t n = 0; n < changes && !text.empty(); ++n) {
        const auto at = random(static_cast<std::uint32_t>(text.size()));
        const auto length = random(20);
        switch (random(5)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text[at] = bytes[random(static_cast<std::uint32_t>(bytes.size()))];
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.erase(at, length);
            break;
        default:
            text.insert(at, length, bytes[random(static_cast<std::uint32_t>(bytes.size()))]);
        }
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(mutated_inputs)

BOOST_AUTO_TEST_CASE(mutated_configuration_yaml_is_accepted_or_gives_faults) {
    pcg32 random(20);
    int rejected = 0;
    for (int n = 0; n < rounds; ++n) {
        const auto checked = parse_configuration({{"a.yaml", mutate(sample_yaml, random)}});
        rejected += checked.faults.empty() ? 0 : 1;
        if (checked.faults.empty()) {
            const auto again = decode_configuration_text(encode_configuration(checked.value), 1);
            BOOST_TEST(again.has_value());
        }
    }
    BOOST_TEST(rejected > rounds / 2);
}

BOOST_AUTO_TEST_CASE(mutated_settings_are_accepted_or_give_faults) {
    pcg32 random(21);
    const std::string valid_settings =
        "node: {name: a, availability_zone: b, region: c}\n"
        "listen: {callers: 127.0.0.1:0, admin: 127.0.0.1:0, peers: 127.0.0.1:0}\n"
        "platform: {url: http://127.0.0.1:7000}\n";
    int rejected = 0;
    for (int n = 0; n < rounds; ++n) {
        rejected += parse_settings({"n.yaml", mutate(valid_settings, random)}).faults.empty() ? 0 : 1;
    }
    BOOST_TEST(rejected > rounds / 2);
}

BOOST_AUTO_TEST_CASE(mutated_platform_values_are_accepted_or_give_an_error) {
    pcg32 random(22);
    auto config = parse_configuration({{"a.yaml", sample_yaml}}).value;
    config.generation = 3;
    const auto body = encode_configuration(config);
    const auto& codec = json_configuration_codec();
    const auto head = codec.encode_head(make_configuration_head(config, "token"));
    int rejected = 0;
    for (int n = 0; n < rounds; ++n) {
        rejected += codec.decode_body(mutate(body, random), 1).has_error() ? 1 : 0;
        const auto decoded = codec.decode_head(mutate(head, random));
        BOOST_TEST((decoded.has_error() || decoded.value().generation > 0));
        (void)codec.decode_piece(mutate(head, random));
    }
    BOOST_TEST(rejected > rounds / 2);
}

BOOST_AUTO_TEST_SUITE_END()
