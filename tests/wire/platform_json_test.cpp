// Answers of the platform and bodies from callers: any bytes are either decoded or rejected, without a crash.
#include <skylarkseam/wire/caller_json.hpp>
#include <skylarkseam/wire/platform_json.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

using namespace skylarkseam;

namespace {

constexpr std::uint64_t mutation_seed = 23;
constexpr int mutations = 10'000;

std::string mutated(std::string text, pcg32& random) {
    const auto at = random(static_cast<std::uint32_t>(text.size()));
    if (random(2) == 0) {
        text.resize(at);
    } else {
        text[at] = static_cast<char>(random(256));
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_answers)

BOOST_AUTO_TEST_CASE(an_object_is_read_with_its_version_and_value) {
    const auto response = decode_platform_answer(platform_method::get, 200,
                                                 R"({"kind":"k","name":"n","version":"7","value":{"a":1}})");
    BOOST_TEST((response.status == platform_status::ok));
    BOOST_TEST(response.version == "7");
    BOOST_TEST(response.objects.at(0).value_json == R"({"a":1})");
}

BOOST_AUTO_TEST_CASE(each_http_status_is_mapped_to_a_platform_status) {
    const auto status_of = [](int http) {
        return decode_platform_answer(platform_method::update, http, "").status;
    };
    BOOST_TEST((status_of(404) == platform_status::not_found));
    BOOST_TEST((status_of(410) == platform_status::version_too_old));
    BOOST_TEST((status_of(412) == platform_status::conflict));
    BOOST_TEST((status_of(413) == platform_status::too_large));
    BOOST_TEST((status_of(429) == platform_status::throttled));
    BOOST_TEST((status_of(500) == platform_status::unavailable));
}

BOOST_AUTO_TEST_CASE(a_malformed_answer_leaves_the_outcome_unknown) {
    pcg32 random(mutation_seed);
    const std::string valid_list =
        R"({"version":"9","items":[{"kind":"k","name":"n","version":"7","value":[1,"x"]},{"kind":"k","name":"m","version":"8","value":null}]})";
    int unknown_outcomes = 0;
    for (int it = 0; it < mutations; ++it) {
        const auto response = decode_platform_answer(platform_method::list, 200, mutated(valid_list, random));
        if (response.status != platform_status::ok) {
            ++unknown_outcomes;
            BOOST_TEST((response.status == platform_status::unavailable));
            BOOST_TEST(!response.not_sent);
            BOOST_TEST(response.objects.empty());
        }
    }
    BOOST_TEST(unknown_outcomes > mutations / 2);
    BOOST_TEST(unknown_outcomes < mutations);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(mutated_caller_bodies)

BOOST_AUTO_TEST_CASE(are_decoded_or_rejected_as_bad_requests) {
    pcg32 random(mutation_seed);
    const std::string valid_body = R"({"query":{"text":"iron","not":[1,null,true]},"limit":10})";
    int rejected = 0;
    for (int it = 0; it < mutations; ++it) {
        query_request request;
        const auto read = decode_query_body(mutated(valid_body, random), {}, request);
        if (!read) {
            ++rejected;
            BOOST_TEST((read.error().kind == error_kind::bad_request));
        }
    }
    BOOST_TEST(rejected > mutations / 2);
    BOOST_TEST(rejected < mutations);
}

BOOST_AUTO_TEST_SUITE_END()
