// The event loop: timers on a clock that a test pauses and advances.
#include <boost/test/unit_test.hpp>

#include <string>
#include <tests/shell/loop_fixture.hpp>

using namespace skylarkseam;

BOOST_FIXTURE_TEST_SUITE(the_event_loop, loop_fixture)

BOOST_AUTO_TEST_CASE(with_a_paused_clock_timers_expire_only_as_it_is_advanced) {
    loop.pause_clock();
    std::string order;
    loop.run_after(milliseconds(20), [&] { order += 'b'; });
    loop.run_after(milliseconds(10), [&] { order += 'a'; });
    run_turns(3);
    BOOST_TEST(order.empty());

    loop.advance(milliseconds(10));
    run_turns(3);
    BOOST_TEST(order == "a");

    loop.advance(milliseconds(10));
    run_turns(3);
    BOOST_TEST(order == "ab");
}

BOOST_AUTO_TEST_CASE(a_cancelled_timer_does_not_fire) {
    loop.pause_clock();
    bool fired = false;
    const auto id = loop.run_after(milliseconds(1), [&] { fired = true; });
    loop.cancel(id);
    loop.advance(milliseconds(5));
    run_turns(3);
    BOOST_TEST(!fired);
}

BOOST_AUTO_TEST_CASE(a_timer_may_set_the_next_one) {
    loop.pause_clock();
    int fired = 0;
    std::function<void()> again = [&] {
        if (++fired < 3) {
            loop.run_after(milliseconds(1), again);
        }
    };
    loop.run_after(milliseconds(1), again);
    for (int it = 0; it < 5; ++it) {
        loop.advance(milliseconds(1));
        run_turns(2);
    }
    BOOST_TEST(fired == 3);
}

BOOST_AUTO_TEST_CASE(a_loop_that_ends_drops_its_timers) {
    bool fired = false;
    {
        event_loop other;
        other.run_after(seconds(10), [&] { fired = true; });
        other.run_once(milliseconds(1));
    }
    BOOST_TEST(!fired);
}

BOOST_AUTO_TEST_CASE(a_posted_task_runs_after_the_callback_that_posted_it) {
    std::string order;
    loop.post([&] {
        loop.post([&] { order += 'b'; });
        order += 'a';
    });
    run_turns(2);
    BOOST_TEST(order == "ab");
}

BOOST_AUTO_TEST_SUITE_END()
