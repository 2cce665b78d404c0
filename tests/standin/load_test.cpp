// The load tool's plan, statistics and check of answers.
#include "standin/answer_check.hpp"
#include "standin/hits.hpp"
#include "standin/load_plan.hpp"
#include "standin/load_statistics.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <stdexcept>

using namespace skylarkseam;
using namespace skylarkseam::standin;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(the_load_tool)

BOOST_AUTO_TEST_SUITE(its_plan)

BOOST_AUTO_TEST_CASE(repeats_itself_from_the_same_seed_at_the_stated_rate_and_mix) {
    const std::vector<load_kind> mix{parse_load_kind("a:search:urgent=3"), parse_load_kind("b:search")};
    BOOST_TEST(mix[0].cls == "urgent");
    load_plan first(mix, 100, 7);
    load_plan second(mix, 100, 7);
    constexpr int n = 10'000;
    int of_a = 0;
    duration last{};
    for (int it = 0; it < n; ++it) {
        const auto arrival = first.next();
        BOOST_REQUIRE((arrival.at == second.next().at));
        BOOST_REQUIRE((arrival.at >= last));
        last = arrival.at;
        of_a += arrival.kind == 0 ? 1 : 0;
    }
    BOOST_TEST(std::abs(to_ms(last) - 100'000) < 5'000);
    BOOST_TEST(std::abs(of_a - 7'500) < 250);
}

BOOST_AUTO_TEST_CASE(refuses_a_kind_of_request_that_it_cannot_read) {
    BOOST_CHECK_THROW(static_cast<void>(parse_load_kind("a")), std::invalid_argument);
    BOOST_CHECK_THROW(static_cast<void>(parse_load_kind("a:b=0")), std::invalid_argument);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(its_statistics)

BOOST_AUTO_TEST_CASE(give_quantiles_within_one_percent) {
    latency_histogram latency;
    BOOST_TEST(latency.quantile_ms(0.5) == 0.0);
    for (int ms = 1; ms <= 1000; ++ms) {
        latency.add(milliseconds(ms));
    }
    BOOST_TEST(latency.quantile_ms(0.5) == 500.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(latency.quantile_ms(0.99) == 990.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(latency.quantile_ms(0.999) == 999.0, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(keep_answers_refusals_and_faults_apart) {
    load_statistics statistics;
    load_outcome it{milliseconds(1500), milliseconds(5), "a", load_result::answered, "", "", 0.5, 8};
    statistics.add(it);
    it.result = load_result::refused;
    it.kind = "overloaded";
    statistics.add(it);
    it.result = load_result::answered;
    it.wrong = "hits";
    it.coverage = 1.0;
    statistics.add(it);
    BOOST_TEST(statistics.all.sent == 3U);
    BOOST_TEST(statistics.all.answered == 2U);
    BOOST_TEST(statistics.all.whole == 1U);
    BOOST_TEST(statistics.all.coverage() == 0.75);
    BOOST_TEST(statistics.refused.at("overloaded") == 1U);
    BOOST_TEST(statistics.wrong.at("hits") == 1U);
    BOOST_TEST(statistics.by_second.at(1).sent == 3U);
    BOOST_TEST(statistics.by_caller.at("a").latency.count() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(its_check_of_an_answer)

constexpr snapshot_id snapshot = 4;
const load_service over_four{{0, 1, 2, 3}, true};

json right_answer(const std::vector<shard_id>& searched, const std::vector<shard_id>& missing) {
    auto hits = json::array();
    for (const auto& it : merged_hits("1", searched, snapshot, 10)) {
        hits.push_back({{"id", it.id}, {"score", it.score}, {"snapshot", snapshot}});
    }
    const auto fraction = static_cast<double>(searched.size()) / 4.0;
    const json coverage{
        {"fraction", fraction}, {"searched", searched.size()}, {"total", 4}, {"missing", missing}};
    return {{"request_id", "r"}, {"snapshot", snapshot}, {"coverage", coverage}, {"hits", hits}};
}

std::string fault_of(const json& answer) {
    return check_answer(answer.dump(), "r", "1", 10, &over_four).wrong;
}

BOOST_AUTO_TEST_CASE(finds_nothing_in_a_right_one) {
    BOOST_TEST(fault_of(right_answer({0, 1, 2, 3}, {})) == "");
    BOOST_TEST(fault_of(right_answer({0, 2}, {1, 3})) == "");
}

BOOST_AUTO_TEST_CASE(names_what_is_wrong) {
    const auto right = right_answer({0, 1, 2, 3}, {});
    auto answer = right;
    answer["request_id"] = "other";
    BOOST_TEST(fault_of(answer) == "request_id");
    answer = right;
    answer["hits"][0]["snapshot"] = 3;
    BOOST_TEST(fault_of(answer) == "snapshot_mixed");
    answer = right;
    answer["hits"].push_back(answer["hits"][0]);
    BOOST_TEST(fault_of(answer) == "duplicate_hit");
    answer = right;
    answer["hits"].erase(0);
    BOOST_TEST(fault_of(answer) == "hits");
    answer = right;
    answer["coverage"]["missing"] = {2};
    BOOST_TEST(fault_of(answer) == "coverage");
    answer = right_answer({0, 2}, {1, 3});
    answer["coverage"]["missing"] = {0, 1};
    BOOST_TEST(fault_of(answer) == "hits");
    BOOST_TEST(check_answer("{", "r", "1", 10, &over_four).wrong == "form");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(learns_the_shards_of_a_service_from_the_configuration) {
    const auto services = services_in("kind: upstream_group\nname: g\nsearchers:\n"
                                      "  - {name: a, shards: [2, 0]}\n  - {name: b, shards: [1, 2]}\n"
                                      "---\nkind: service\nname: s\nupstream_group: g\nidempotent: false\n");
    BOOST_TEST((services.at("s").shards == std::vector<shard_id>{0, 1, 2}));
    BOOST_TEST(!services.at("s").idempotent);
}

BOOST_AUTO_TEST_SUITE_END()
