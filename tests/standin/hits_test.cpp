// The hits that a test can compute for itself.
#include "standin/hits.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace skylarkseam;
using namespace skylarkseam::standin;

BOOST_AUTO_TEST_SUITE(the_expected_hits)

BOOST_AUTO_TEST_CASE(depend_on_query_shard_and_snapshot_alone) {
    const auto query = canonical_query(R"({ "b": 1, "a": "iron" })");
    BOOST_TEST(query == R"({"a":"iron","b":1})");
    BOOST_TEST((shard_hits(query, 3, 1, 10) == shard_hits(query, 3, 1, 10)));
    BOOST_TEST((shard_hits(query, 3, 1, 10) != shard_hits(query, 3, 2, 10)));
    BOOST_TEST((shard_hits(query, 3, 1, 10) != shard_hits("2", 3, 1, 10)));
}

BOOST_AUTO_TEST_CASE(merge_in_order_with_each_id_once) {
    const std::vector<shard_id> shards{0, 1, 2, 3, 4, 5, 6, 7};
    bool shared = false;
    for (snapshot_id snapshot = 1; snapshot < 20; ++snapshot) {
        std::set<std::string> ids;
        double last = 1.0;
        const auto hits = merged_hits("1", shards, snapshot, 100);
        for (const auto& it : hits) {
            BOOST_TEST(ids.insert(it.id).second);
            BOOST_TEST(it.score <= last);
            last = it.score;
        }
        std::size_t n = 0;
        for (const auto it : shards) {
            n += shard_hits("1", it, snapshot, 100).size();
        }
        shared = shared || n > hits.size();
    }
    BOOST_TEST(shared);
}

BOOST_AUTO_TEST_CASE(are_the_best_ones_where_shards_were_cut_at_the_limit) {
    const auto all = merged_hits("1", {0, 1, 2, 3}, 1, 100);
    const auto best = merged_hits("1", {0, 1, 2, 3}, 1, 3);
    BOOST_REQUIRE(best.size() == 3U);
    BOOST_TEST(std::equal(best.begin(), best.end(), all.begin()));
}

BOOST_AUTO_TEST_SUITE_END()
