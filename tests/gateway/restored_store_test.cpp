// A store that returns from an older copy of its data: the latest changes are gone and their revisions are
// given out again. Guards against a gateway that keeps refusing the store's state because it has seen higher
// revisions, and against one that takes searchers for gone or zones for back in use because the copy is
// older.
#include <skylarkseam/gateway/directory.hpp>
#include <skylarkseam/gateway/store_follower.hpp>
#include <skylarkseam/gateway/store_replica.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

searcher_record record(const std::string& id, bool draining = false, std::int64_t started = 1) {
    return {id, "s", "10.0.0.1:80", "a", 4, draining, {}, started};
}

store_answer page(std::uint64_t incarnation, std::uint64_t revision, const std::vector<std::string>& ids,
                  bool more = false) {
    store_answer answer;
    answer.status = store_status::ok;
    answer.incarnation = incarnation;
    answer.page.revision = revision;
    answer.page.more = more;
    for (const auto& id : ids) {
        answer.page.entries.push_back({id, revision, false, record(id), {}});
    }
    return answer;
}

store_answer failure(store_status status, std::uint64_t incarnation) {
    store_answer answer;
    answer.status = status;
    answer.incarnation = incarnation;
    return answer;
}

struct follower_fixture {
    time_point now{seconds(50)};
    store_follower follower{{}, 1};
    std::vector<store_output> events;
    std::vector<store_call> pending;

    std::optional<store_call> next_call(store_kind kind = store_kind::searchers) {
        now += seconds(5);
        follower.take_calls(now, pending);
        for (auto it = pending.begin(); it != pending.end(); ++it) {
            if (it->kind == kind) {
                auto call = *it;
                pending.erase(it);
                return call;
            }
        }
        return std::nullopt;
    }
    void answer(store_answer it, store_kind kind = store_kind::searchers) {
        events.clear();
        follower.take_answer(kind, std::move(it), now, events);
    }
    template <typename T>
    std::size_t count() const {
        return static_cast<std::size_t>(std::count_if(
            events.begin(), events.end(), [](const auto& it) { return std::holds_alternative<T>(it); }));
    }
    /// Lists the searchers at revision 100 of the first incarnation.
    void list_first() {
        next_call();
        answer(page(1, 100, {"a", "b"}));
        BOOST_TEST(count<store_event::restored>() == 0U);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(calls_to_a_restored_store, follower_fixture)

BOOST_AUTO_TEST_CASE(list_again_when_a_watch_is_answered_by_the_new_incarnation) {
    list_first();
    BOOST_TEST(next_call()->watch);
    // The revision after which it watched was given out again, so these changes are not all.
    answer(page(2, 103, {"c"}));
    BOOST_TEST(count<store_event::restored>() == 1U);
    BOOST_TEST(count<store_event::entry_changed>() == 0U);
    BOOST_TEST(!next_call()->watch);
    answer(page(2, 104, {"a", "c"}));
    BOOST_TEST(count<store_event::listed>() == 1U);
    const auto watch = next_call();
    BOOST_TEST(watch->watch);
    BOOST_TEST(watch->revision == 104U);
}

BOOST_AUTO_TEST_CASE(list_again_when_a_failed_call_names_the_new_incarnation) {
    for (const auto status :
         {store_status::history_gone, store_status::unavailable, store_status::throttled}) {
        store_follower fresh({}, 1);
        std::swap(follower, fresh);
        pending.clear();
        list_first();
        next_call();
        answer(failure(status, 2));
        BOOST_TEST(count<store_event::restored>() == 1U);
        BOOST_TEST(!next_call()->watch);
    }
}

BOOST_AUTO_TEST_CASE(restart_a_listing_in_the_middle_of_which_the_store_returned) {
    next_call();
    answer(page(1, 100, {"a", "b"}, true));
    BOOST_TEST(next_call()->after == "b");
    answer(page(2, 90, {"c"}));
    BOOST_TEST(count<store_event::listed>() == 0U);
    BOOST_TEST(count<store_event::entry_changed>() == 0U);
    BOOST_TEST(next_call()->after.empty());
}

BOOST_AUTO_TEST_CASE(take_nothing_from_a_delayed_answer_of_the_earlier_incarnation) {
    list_first();
    next_call();
    follower.note_incarnation(2, now); // Another gateway has heard from the store already.
    answer(page(1, 130, {"late"}));
    BOOST_TEST(events.empty());
    BOOST_TEST(!next_call()->watch);
    answer(page(2, 95, {"a"}));
    BOOST_TEST(follower.revision(store_kind::searchers) == 95U);
}

BOOST_AUTO_TEST_CASE(take_nothing_from_a_watch_that_was_sent_before_another_kind_learned_of_it) {
    next_call(store_kind::routing);
    answer(page(1, 100, {}), store_kind::routing);
    list_first();
    BOOST_TEST(next_call(store_kind::searchers)->watch);
    BOOST_TEST(next_call(store_kind::routing)->watch);
    answer(page(2, 90, {}), store_kind::routing);
    answer(page(2, 101, {"c"}), store_kind::searchers);
    BOOST_TEST(count<store_event::entry_changed>() == 0U);
    BOOST_TEST(!next_call(store_kind::searchers)->watch);
}

BOOST_AUTO_TEST_CASE(do_not_watch_from_revisions_of_an_earlier_incarnation) {
    follower.set_scope(store_scope::nothing, {}, now);
    follower.note_incarnation(2, now);
    follower.set_scope(store_scope::everything, {0, 0, 0}, now);
    BOOST_TEST(!next_call()->watch);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_replica_of_a_restored_store)

struct replica_fixture {
    time_point now{seconds(1)};
    store_replica known{1};
    replica_fixture() {
        known.begin_incarnation(1);
        known.apply(registration{"a", 5, record("a"), false});
        known.apply(registration{"b", 70, record("b"), false});
        known.apply(evacuation{"z", 80, true});
        known.apply(routing_source{9, "nine"});
        for (const auto kind : store_kinds) {
            known.advance(kind, 90);
        }
    }
    /// The listing of the copy, which is older than `b`, the evacuation and the configuration.
    void list_copy() {
        known.begin_incarnation(2);
        known.apply(registration{"a", 5, record("a"), false});
        known.retain_searchers({"a"}, 50, false);
        known.retain_evacuations({}, 50);
        known.advance(store_kind::routing, 50);
        known.settle(now);
    }
};

BOOST_FIXTURE_TEST_CASE(keeps_what_the_copy_lacks_until_it_had_time_to_return, replica_fixture) {
    list_copy();
    BOOST_TEST(known.searchers() == 2U);
    BOOST_TEST(known.evacuated_zones().contains("z"));
    BOOST_TEST(known.routing().version == 9U);
    BOOST_TEST(known.complete());
    now += milliseconds(4900);
    BOOST_TEST(known.settle(now).registrations.empty());
    now += milliseconds(200);
    const auto removed = known.settle(now);
    BOOST_TEST_REQUIRE(removed.registrations.size() == 1U);
    BOOST_TEST(removed.registrations[0].id == "b");
    BOOST_TEST(removed.evacuations.size() == 1U);
    BOOST_TEST(known.searchers() == 1U);
    BOOST_TEST(known.evacuated_zones().empty());
    BOOST_TEST(known.routing().version == 9U);
}

BOOST_FIXTURE_TEST_CASE(takes_lower_revisions_of_the_new_incarnation, replica_fixture) {
    list_copy();
    BOOST_TEST(known.apply(registration{"b", 52, record("b", false, 2), false}));
    BOOST_TEST(known.apply(evacuation{"z", 53, true}));
    now += seconds(6);
    BOOST_TEST(known.settle(now).registrations.empty());
    BOOST_TEST(known.evacuated_zones().contains("z"));
    BOOST_TEST(known.apply(evacuation{"z", 54, false}));
    BOOST_TEST(known.evacuated_zones().empty());
}

BOOST_FIXTURE_TEST_CASE(takes_nothing_from_a_gateway_that_is_still_in_the_earlier_one, replica_fixture) {
    const auto before = known;
    list_copy();
    store_replica other = before;
    other.apply(registration{"c", 95, record("c"), false});
    other.apply(routing_source{11, "eleven"});
    known.apply(other.update_since({}, now));
    BOOST_TEST(known.searchers() == 2U);
    BOOST_TEST(known.revisions()[static_cast<std::size_t>(store_kind::searchers)] == 50U);
    // The other one learns of it, and nothing that it knows is lost before its time.
    const auto update = known.update_since(other.position(), now);
    BOOST_TEST(!update.empty());
    other.apply(update);
    BOOST_TEST(other.incarnation() == 2U);
    BOOST_TEST(other.searchers() == 3U);
    BOOST_TEST(other.evacuated_zones().contains("z"));
}

BOOST_FIXTURE_TEST_CASE(passes_on_what_it_keeps_to_a_gateway_that_has_just_started, replica_fixture) {
    list_copy();
    store_replica fresh(2);
    fresh.apply(known.update_since({}, now));
    BOOST_TEST(fresh.searchers() == 2U);
    BOOST_TEST(fresh.evacuated_zones().contains("z"));
    fresh.settle(now);
    now += seconds(6);
    fresh.settle(now);
    BOOST_TEST(fresh.searchers() == 1U);
    // After that time, what others still keep does not return.
    fresh.apply(known.update_since({}, now));
    BOOST_TEST(fresh.searchers() == 1U);
}

BOOST_FIXTURE_TEST_CASE(does_not_settle_before_the_store_was_listed, replica_fixture) {
    known.begin_incarnation(2);
    now += seconds(60);
    BOOST_TEST(known.settle(now).registrations.empty());
    BOOST_TEST(!known.settles_at().has_value());
    BOOST_TEST(known.searchers() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_directory_after_the_store_was_restored)

struct directory_fixture {
    time_point now{seconds(50)};
    directory known{{"a", "north", {{"a", "north"}}}, {}, [](auto&&...) {}};
    void pass(duration time) {
        now += time;
        known.expire(now);
    }
};

BOOST_FIXTURE_TEST_CASE(keeps_a_searcher_draining_whose_older_entry_says_ready, directory_fixture) {
    known.put(record("x"), now);
    known.put(record("x", true), now);
    pass(seconds(3));
    known.note_store_restored(now);
    known.put(record("x"), now);
    BOOST_TEST(known.drained(*known.of_service("s").at(0), now));
    pass(seconds(1));
    known.put(record("x", true), now); // It writes again that it drains.
    pass(seconds(6));
    BOOST_TEST(known.drained(*known.of_service("s").at(0), now));
}

BOOST_FIXTURE_TEST_CASE(takes_the_entry_if_the_searcher_does_not_write_again, directory_fixture) {
    known.put(record("x", true), now);
    known.note_store_restored(now);
    known.put(record("x"), now);
    BOOST_TEST((known.next_wakeup() == now + seconds(6)));
    pass(seconds(6));
    BOOST_TEST(!known.of_service("s").at(0)->leaving.has_value());
}

BOOST_FIXTURE_TEST_CASE(does_not_take_back_a_searcher_that_was_removed, directory_fixture) {
    known.put(record("x"), now);
    known.remove("x", false, now);
    pass(seconds(3));
    BOOST_TEST(known.size() == 0U);
    known.note_store_restored(now);
    known.put(record("x"), now);
    BOOST_TEST(known.size() == 0U);
    known.remove("x", false, now); // The store finds that it does not report.
    pass(seconds(7));
    BOOST_TEST(known.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(takes_a_searcher_that_has_started_again, directory_fixture) {
    known.put(record("x", true), now);
    known.note_store_restored(now);
    known.put(record("x", false, 2), now);
    BOOST_TEST(!known.of_service("s").at(0)->leaving.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
