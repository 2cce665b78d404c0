// The searcher stand-in's model on a clock that the test advances.
#include "standin/searcher_model.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::standin;

namespace {

constexpr duration base_time = milliseconds(10);

searcher_options two_slots() {
    searcher_options options;
    options.name = "s";
    options.shards = {0, 1};
    options.slots = 2;
    options.queue = 1;
    options.time.base = base_time;
    options.time.jitter = 0;
    options.time.cold_factor = 1;
    return options;
}

struct fixture {
    time_point now{};
    searcher_model model{two_slots(), now};
    std::vector<search_completion> done;
    std::uint64_t tickets = 0;

    void send(const std::string& id, shard_id shard = 0, snapshot_id snapshot = 1, std::string key = "") {
        model.arrive({++tickets, id, shard, snapshot, std::nullopt, std::move(key), false}, now, done);
    }
    void pass(duration step) {
        now += step;
        model.advance(now, done);
    }
    int count(search_outcome outcome) const {
        int n = 0;
        for (const auto& it : done) {
            n += it.outcome == outcome ? 1 : 0;
        }
        return n;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_searcher, fixture)

BOOST_AUTO_TEST_CASE(runs_as_many_as_it_has_slots_and_sheds_beyond_its_queue) {
    for (const auto* id : {"a", "b", "c", "d"}) {
        send(id);
    }
    BOOST_TEST(model.in_flight() == 2U);
    BOOST_TEST(model.queued() == 1U);
    BOOST_TEST(count(search_outcome::shed) == 1);
    pass(base_time);
    BOOST_TEST(count(search_outcome::done) == 2);
    BOOST_TEST(model.in_flight() == 1U);
    pass(base_time);
    BOOST_TEST(count(search_outcome::done) == 3);
}

BOOST_AUTO_TEST_CASE(answers_only_for_shards_and_snapshots_that_it_holds) {
    send("a", 7);
    send("b", 0, 2);
    BOOST_TEST(count(search_outcome::shard_not_held) == 1);
    BOOST_TEST(count(search_outcome::snapshot_not_held) == 1);
    model.add_snapshot(0, 2);
    model.retire_snapshot(std::nullopt, 1);
    send("c", 0, 2);
    send("d", 0, 1);
    BOOST_TEST(model.in_flight() == 1U);
    BOOST_TEST(count(search_outcome::snapshot_not_held) == 2);
}

BOOST_AUTO_TEST_SUITE(that_is_cold)

BOOST_AUTO_TEST_CASE(bears_little_and_rises_by_steps) {
    model.set_state(searcher_state::cold, now);
    BOOST_TEST(model.bears(now) == 1U);
    pass(seconds(1));
    BOOST_TEST(model.bears(now) == 2U);
    BOOST_TEST((model.state(now) == searcher_state::warm));
}

BOOST_AUTO_TEST_CASE(sheds_too_much_work_falls_back_and_counts_it) {
    model.set_state(searcher_state::cold, now);
    pass(milliseconds(900));
    send("a");
    send("b");
    BOOST_TEST(count(search_outcome::shed) == 1);
    BOOST_TEST(model.counters().cold_violations == 1U);
    pass(milliseconds(900));
    BOOST_TEST(model.bears(now) == 1U);
}

BOOST_AUTO_TEST_CASE(blames_the_sender_only_for_work_that_came_well_after_the_first_sign) {
    model.set_state(searcher_state::cold, now);
    send("a");
    send("b");
    model.note_sign(now);
    pass(milliseconds(50));
    send("c");
    send("d");
    BOOST_TEST(model.counters().cold_violations_after_sign == 0U);
    pass(milliseconds(100));
    send("e");
    send("f");
    BOOST_TEST(model.counters().cold_violations_after_sign == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ends_what_was_cancelled_and_starts_what_waited) {
    for (const auto* id : {"a", "b", "c"}) {
        send(id);
    }
    model.cancel("a", now, done);
    BOOST_TEST(count(search_outcome::cancelled) == 1);
    BOOST_TEST(model.in_flight() == 2U);
    BOOST_TEST(model.queued() == 0U);
    BOOST_TEST(model.counters().cancelled_running == 1U);
}

BOOST_AUTO_TEST_CASE(counts_the_runs_of_each_key) {
    send("a", 0, 1, "bill-1");
    send("b", 0, 1, "bill-1");
    BOOST_TEST(model.runs_by_key().at("bill-1") == 2U);
    BOOST_TEST(model.runs().size() == 2U);
}

BOOST_AUTO_TEST_CASE(cuts_its_work_when_it_restarts_and_comes_back_cold) {
    send("a");
    const auto before = model.boot_id();
    model.restart(now, done);
    BOOST_TEST(count(search_outcome::cut) == 1);
    BOOST_TEST(model.boot_id() != before);
    BOOST_TEST((model.state(now) == searcher_state::cold));
}

BOOST_AUTO_TEST_CASE(straggles_in_the_stated_part_of_its_requests) {
    auto time = model.options().time;
    time.straggler_probability = 0.1;
    model.set_service_time(time);
    constexpr int n = 2000;
    for (int it = 0; it < n; ++it) {
        send("a");
        pass(seconds(1));
    }
    BOOST_TEST(model.counters().stragglers > 150U);
    BOOST_TEST(model.counters().stragglers < 250U);
}

BOOST_AUTO_TEST_SUITE_END()
