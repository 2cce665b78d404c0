// The platform stand-in's objects: versions, conditions, watches and the limit on calls.
#include "standin/object_store.hpp"
#include "standin/platform_faults.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::standin;

namespace {
constexpr time_point start{};

bool has_status(const store_answer& answer, store_status expected) {
    return answer.status == expected;
}
} // namespace

BOOST_AUTO_TEST_SUITE(an_object_store)

BOOST_AUTO_TEST_CASE(changes_an_object_only_under_its_condition) {
    object_store store;
    const auto created = store.create("k", "a", "1", start);
    BOOST_TEST(has_status(created, store_status::created));
    BOOST_TEST(has_status(store.create("k", "a", "2", start), store_status::conflict));
    const auto updated = store.update("k", "a", created.object.version, "3", start);
    BOOST_TEST(has_status(updated, store_status::ok));
    BOOST_TEST(
        has_status(store.update("k", "a", created.object.version, "4", start), store_status::conflict));
    BOOST_TEST(has_status(store.remove("k", "a", created.object.version, start), store_status::conflict));
    BOOST_TEST(store.get("k", "a").object.value_json == "3");
    BOOST_TEST(has_status(store.remove("k", "a", updated.object.version, start), store_status::ok));
    BOOST_TEST(has_status(store.get("k", "a"), store_status::not_found));
}

BOOST_AUTO_TEST_CASE(numbers_all_changes_by_one_counter) {
    object_store store;
    store.create("k", "a", "1", start);
    store.create("other", "b", "1", start);
    BOOST_TEST(store.create("k", "c", "1", start).object.version == 3U);
    BOOST_TEST(store.list("k").size() == 2U);
}

BOOST_AUTO_TEST_CASE(refuses_a_value_over_the_limit) {
    object_store store({.value_bytes = 4, .history = 10});
    BOOST_TEST(has_status(store.create("k", "a", "12345", start), store_status::too_large));
    BOOST_TEST(store.version() == 0U);
}

BOOST_AUTO_TEST_CASE(shows_a_watch_the_changes_of_its_kind_once_they_are_visible) {
    object_store store;
    store.create("k", "a", "1", start);
    store.create("other", "b", "1", start + seconds(1));
    store.remove("k", "a", 1, start + seconds(2));
    const auto early = store.changes_after("k", 1, start + seconds(1));
    BOOST_REQUIRE(early.has_value());
    BOOST_TEST(early->items.empty());
    BOOST_TEST(early->version == 2U);
    const auto late = store.changes_after("k", 1, start + seconds(2));
    BOOST_REQUIRE(late.has_value());
    BOOST_REQUIRE(late->items.size() == 1U);
    BOOST_TEST(late->items[0].deleted);
}

BOOST_AUTO_TEST_CASE(tells_a_watch_that_its_version_is_no_longer_in_the_history) {
    object_store store({.value_bytes = 100, .history = 2});
    for (const auto* name : {"a", "b", "c"}) {
        store.create("k", name, "1", start);
    }
    BOOST_TEST(!store.changes_after("k", 0, start).has_value());
    BOOST_TEST(!store.changes_after("k", 4, start).has_value());
    const auto found = store.changes_after("k", 1, start);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->items.size() == 2U);
}

BOOST_AUTO_TEST_CASE(lets_no_more_calls_pass_than_its_rate_and_burst) {
    constexpr double rate = 100;
    call_limiter limit(rate);
    int admitted = 0;
    for (int ms = 0; ms < 1000; ++ms) {
        admitted += limit.admit(start + milliseconds(ms)) ? 1 : 0;
    }
    BOOST_TEST(admitted >= 100);
    BOOST_TEST(admitted <= 125);
}

BOOST_AUTO_TEST_SUITE_END()
