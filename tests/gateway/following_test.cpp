// Tests of how gateways obtain the store's content, also during outages, and keep it.
#include "store_follower_fixture.hpp"

#include <skylarkseam/gateway/directory.hpp>
#include <skylarkseam/gateway/store_replica.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

BOOST_FIXTURE_TEST_SUITE(store_follower_calls, follower_fixture)

BOOST_AUTO_TEST_CASE(lists_all_pages_then_watches_from_the_revision_of_the_first) {
    BOOST_TEST(!next_call(store_kind::searchers)->watch);
    answer(page(100, {"a", "b"}, true));
    const auto second = next_call(store_kind::searchers);
    BOOST_TEST(second->after == "b");
    answer(page(120, {"c"}));
    const auto* const listed = event<store_event::listed>();
    BOOST_TEST_REQUIRE(listed != nullptr);
    BOOST_TEST(listed->names.size() == 3U);
    BOOST_TEST(listed->revision == 100U);
    const auto watch = next_call(store_kind::searchers);
    BOOST_TEST(watch->watch);
    BOOST_TEST(watch->revision == 100U);
}

BOOST_AUTO_TEST_CASE(lists_again_when_the_history_is_compacted) {
    next_call(store_kind::searchers);
    answer(page(100, {"a"}));
    next_call(store_kind::searchers);
    store_answer gone;
    gone.status = store_status::history_gone;
    answer(gone);
    BOOST_TEST(!next_call(store_kind::searchers)->watch);
}

BOOST_AUTO_TEST_CASE(retries_soon_with_growing_timeouts_before_the_first_listing) {
    duration last{};
    for (int n = 0; n < 3; ++n) {
        const auto call = next_call(store_kind::searchers);
        BOOST_TEST_REQUIRE(call.has_value());
        BOOST_TEST((call->timeout > last));
        last = call->timeout;
        answer({});
        now += milliseconds(150);
    }
    BOOST_TEST((last <= store_timing{}.call_timeout));
}

BOOST_AUTO_TEST_CASE(backs_off_after_unavailable_and_throttled) {
    next_call(store_kind::searchers);
    answer(page(100, {"a"}));
    for (const auto status : {store_status::unavailable, store_status::throttled}) {
        int calls = 0;
        for (const auto end = now + seconds(20); now < end; now += milliseconds(10)) {
            if (next_call(store_kind::searchers)) {
                ++calls;
                store_answer failed;
                failed.status = status;
                answer(failed);
            }
        }
        // The backoff doubles up to 1.5 s, with a jitter between half and one and a half times that value.
        BOOST_TEST(calls <= 40);
        BOOST_TEST(calls >= 8);
    }
    BOOST_TEST((follower.last_answer_at(store_kind::routing) == std::nullopt));
}

BOOST_AUTO_TEST_CASE(marks_deletions_after_an_outage_as_possible_expiry) {
    next_call(store_kind::searchers);
    answer(page(100, {"a"}));
    next_call(store_kind::searchers);
    answer({});
    BOOST_TEST((event<store_event::store_lost>() != nullptr));
    now += seconds(2);
    BOOST_TEST(next_call(store_kind::searchers)->watch);
    auto back = page(130, {"a"});
    back.page.entries[0].deleted = true;
    answer(back);
    BOOST_TEST((event<store_event::store_regained>() != nullptr));
    BOOST_TEST_REQUIRE((event<store_event::entry_changed>() != nullptr));
    BOOST_TEST(event<store_event::entry_changed>()->store_was_away);
}

BOOST_AUTO_TEST_CASE(resumes_watching_from_revisions_received_from_peers) {
    follower.set_scope(store_scope::nothing, {}, now);
    BOOST_TEST((next_call(store_kind::searchers) == std::nullopt));
    follower.set_scope(store_scope::everything, {0, 400, 0}, now);
    const auto call = next_call(store_kind::searchers);
    BOOST_TEST(call->watch);
    BOOST_TEST(call->revision == 400U);
    BOOST_TEST(!next_call(store_kind::routing)->watch);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(store_replica_updates)

BOOST_AUTO_TEST_CASE(ignore_older_revisions_from_any_source) {
    store_replica known(1);
    BOOST_TEST(known.apply(registration{"a", 5, record("a"), false}));
    BOOST_TEST(!known.apply(registration{"a", 4, std::nullopt, false}));
    BOOST_TEST(!known.apply(registration{"a", 5, record("a", 2), false}));
    BOOST_TEST(known.apply(registration{"a", 6, std::nullopt, false}));
    BOOST_TEST(known.searchers() == 0U);
    BOOST_TEST(!known.apply(registration{"a", 5, record("a"), false}));
    BOOST_TEST(known.apply(registration{"a", 7, record("a"), false}));
    BOOST_TEST(known.apply(routing_source{3, "x"}));
    BOOST_TEST(!known.apply(routing_source{2, "y"}));
    BOOST_TEST(known.routing().text == "x");
}

BOOST_AUTO_TEST_CASE(contain_only_what_a_reader_does_not_have) {
    store_replica known(9);
    known.apply(registration{"a", 5, record("a"), false});
    known.apply(routing_source{3, "x"});
    const auto first = known.update_since({}, time_point(seconds(1)));
    BOOST_TEST(first.full);
    BOOST_TEST(first.registrations.size() == 1U);
    BOOST_TEST(first.routing.has_value());
    replica_position at{first.epoch, first.sequence, first.routing->version};
    BOOST_TEST(known.update_since(at, time_point(seconds(1))).empty());
    known.apply(registration{"b", 6, record("b"), false});
    known.apply(evacuation{"z", 7, true});
    const auto second = known.update_since(at, time_point(seconds(1)));
    BOOST_TEST(!second.full);
    BOOST_TEST(second.registrations.size() == 1U);
    BOOST_TEST(second.evacuations.size() == 1U);
    BOOST_TEST(known.evacuated_zones().count("z") == 1U);
}

BOOST_AUTO_TEST_CASE(from_peers_do_not_restore_entries_removed_by_the_known_revision) {
    store_replica known(1);
    known.retain_searchers({}, 10, false);
    known.advance(store_kind::evacuations, 10);
    // A gateway with an older listing, or without a later update, still has these entries.
    BOOST_TEST(!known.apply(registration{"gone", 4, record("gone"), false}));
    BOOST_TEST(!known.apply(evacuation{"zone", 4, true}));
    BOOST_TEST(known.searchers() == 0U);
    BOOST_TEST(known.evacuated_zones().empty());
    BOOST_TEST(known.apply(registration{"new", 11, record("new"), false}));
    BOOST_TEST(known.apply(evacuation{"zone", 11, true}));
}

BOOST_AUTO_TEST_SUITE(from_a_gateway_that_is_starting)

// Other gateways follow a gateway as soon as it starts, while it still lists the store.
struct starting_fixture {
    store_replica source{7};
    store_replica reader{8};
    replica_position at;
    time_point now{seconds(1)};

    replica_update follow() {
        auto update = source.update_since(at, now);
        reader.apply(update);
        at = {update.epoch, update.sequence, 0};
        return update;
    }
};

BOOST_FIXTURE_TEST_CASE(complete_the_reader_when_the_listing_ends, starting_fixture) {
    source.apply(registration{"a", 5, record("a"), false});
    BOOST_TEST(follow().full);
    BOOST_TEST(!reader.complete());

    source.apply(registration{"b", 6, record("b"), false});
    source.advance(store_kind::searchers, 10);
    BOOST_TEST(source.complete());
    BOOST_TEST(!follow().full);
    BOOST_TEST(reader.complete());
    BOOST_TEST(reader.searchers() == 2U);
}

BOOST_FIXTURE_TEST_CASE(report_completion_even_without_further_entries, starting_fixture) {
    source.apply(registration{"a", 5, record("a"), false});
    follow();
    source.advance(store_kind::searchers, 10);
    BOOST_TEST(!source.update_since(at, now).empty());
    follow();
    BOOST_TEST(reader.complete());
    BOOST_TEST(source.update_since(at, now).empty());
}

BOOST_FIXTURE_TEST_CASE(report_completion_to_readers_of_the_reader, starting_fixture) {
    store_replica third(9);
    const auto early = reader.update_since({}, now);
    third.apply(early);
    source.apply(registration{"a", 5, record("a"), false});
    source.advance(store_kind::searchers, 10);
    follow();
    const auto later = reader.update_since({early.epoch, early.sequence, 0}, now);
    BOOST_TEST(!later.empty());
    third.apply(later);
    BOOST_TEST(third.complete());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(from_a_listing_remove_older_entries_that_it_lacks) {
    store_replica known(1);
    known.apply(registration{"old", 5, record("old"), false});
    known.apply(registration{"new", 50, record("new"), false});
    const auto gone = known.retain_searchers({}, 40, false);
    BOOST_TEST_REQUIRE(gone.size() == 1U);
    BOOST_TEST(gone[0].id == "old");
    BOOST_TEST(known.searchers() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(searcher_directory)

struct directory_fixture {
    time_point now{seconds(50)};
    directory known{{"a", "north", {{"a", "north"}, {"b", "south"}}}, {}, [](auto&&...) {}};
};

BOOST_FIXTURE_TEST_CASE(keeps_a_searcher_with_an_expired_entry_for_the_removal_grace_period,
                        directory_fixture) {
    known.put(record("x"), now);
    known.remove("x", true, now);
    BOOST_TEST(!known.of_service("s").at(0)->leaving.has_value());
    now += milliseconds(2100);
    known.expire(now);
    known.put(record("x"), now);
    BOOST_TEST(known.of_service("s").size() == 1U);
    now += seconds(3);
    known.expire(now);
    BOOST_TEST(known.of_service("s").size() == 1U);
    known.remove("x", true, now);
    now += milliseconds(2400);
    known.expire(now);
    BOOST_TEST(known.of_service("s").empty());
}

BOOST_FIXTURE_TEST_CASE(treats_a_restarted_searcher_as_a_new_one, directory_fixture) {
    known.put(record("x", 1), now);
    const auto first = known.of_service("s").at(0);
    first->fault = searcher_fault::silent;
    known.put(record("x", 2), now);
    BOOST_TEST((known.of_service("s").at(0) != first));
    BOOST_TEST((known.of_service("s").at(0)->fault == searcher_fault::none));
}

BOOST_FIXTURE_TEST_CASE(uses_a_draining_searcher_too_long_when_its_entry_came_late, directory_fixture) {
    constexpr duration late = milliseconds(3200);
    constexpr duration bound = seconds(4); // From the moment at which the searcher's entry was written
    known.put(record("x"), now);
    known.put(record("y"), now);
    now += late;
    auto it = record("x");
    it.draining = true;
    known.put(it, now, late);
    known.remove("y", false, now, late);
    const auto used_until = [&](const std::string& id) {
        auto when = now;
        while (!known.drained(*known.all().at(id), when)) {
            when += milliseconds(50);
        }
        return when - (now - late);
    };
    BOOST_TEST(to_ms(used_until("x")) <= to_ms(bound));
    BOOST_TEST(to_ms(used_until("y")) <= to_ms(bound));
}

BOOST_FIXTURE_TEST_CASE(excludes_a_draining_searcher_after_its_grace_period, directory_fixture) {
    auto it = record("x");
    it.draining = true;
    known.put(it, now);
    BOOST_TEST(!known.drained(*known.of_service("s").at(0), now));
    BOOST_TEST(known.drained(*known.of_service("s").at(0), now + milliseconds(2500)));
}

BOOST_AUTO_TEST_SUITE_END()
