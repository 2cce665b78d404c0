// Tests of the decision whether this host reaches any searcher.
#include <skylarkseam/gateway/relay_peers.hpp>
#include <skylarkseam/gateway/upstream_reach.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

const placement_view view{"a1", "north", {{"a1", "north"}, {"a2", "north"}, {"b1", "east"}, {"c1", "south"}}};

struct reach_fixture {
    upstream_reach reach;
    time_point now{seconds(100)};

    /// Plays a round; returns whether the state has changed.
    /// \param answered  number of checks that a searcher answers
    /// \param other     result of the other checks
    bool play_round(std::size_t answered, check_result other = check_result::no_answer) {
        const auto checks = reach.checks_due(now);
        BOOST_TEST_REQUIRE(checks > 0U);
        reach.begin_round(checks, now);
        now += milliseconds(50);
        bool changed = false;
        for (std::size_t n = 0; n < checks; ++n) {
            const auto result = n < answered ? check_result::answered : other;
            changed = reach.take_check(result, now) || changed;
        }
        return changed;
    }

    /// Requests that were sent at `sent` are not answered in time.
    void fall_silent(time_point sent, int n) {
        for (int it = 0; it < n; ++it) {
            reach.note_silence(sent, now);
        }
    }

    void fail_connections(int n) {
        for (int it = 0; it < n; ++it) {
            reach.note_connect_failure(now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_reach_of_a_host, reach_fixture)

BOOST_AUTO_TEST_CASE(is_checked_after_connections_that_fail_in_a_row) {
    fail_connections(2);
    BOOST_TEST(reach.checks_due(now) == 0U);
    reach.note_connected();
    fail_connections(2);
    BOOST_TEST(reach.checks_due(now) == 0U);
    now += seconds(3);
    fail_connections(2); // The two before are too long ago.
    BOOST_TEST(reach.checks_due(now) == 0U);
    fail_connections(1);
    BOOST_TEST(reach.checks_due(now) == 4U);
}

BOOST_AUTO_TEST_CASE(is_checked_after_a_silence_but_not_while_others_answer) {
    reach.note_answer(now);
    fall_silent(now - milliseconds(1), 3);
    BOOST_TEST(reach.checks_due(now) == 0U);
    fall_silent(now + milliseconds(1), 2); // One searcher that pauses is no reason.
    BOOST_TEST(reach.checks_due(now) == 0U);
    fall_silent(now + milliseconds(1), 1);
    BOOST_TEST(reach.checks_due(now) == 4U);
}

BOOST_AUTO_TEST_CASE(is_checked_seldom_while_requests_are_refused_for_faulty_searchers) {
    int rounds = 0;
    for (int n = 0; n < 100; ++n, now += milliseconds(100)) {
        reach.note_refusal();
        if (reach.checks_due(now) > 0) {
            ++rounds;
            play_round(1);
        }
    }
    BOOST_TEST(rounds <= 5); // In 10 to 15 s, each 2 s after a success
    upstream_reach lost;
    std::swap(reach, lost);
    reach.note_refusal();
    play_round(0);
    play_round(0);
    BOOST_TEST(reach.cut_off());
}

BOOST_AUTO_TEST_CASE(is_lost_only_if_two_rounds_fail) {
    fail_connections(3);
    BOOST_TEST(!play_round(0));
    BOOST_TEST(!reach.cut_off());
    BOOST_TEST(play_round(0));
    BOOST_TEST(reach.cut_off());

    upstream_reach other;
    std::swap(reach, other);
    fail_connections(3);
    BOOST_TEST(!play_round(0));
    BOOST_TEST(!play_round(1));
    now += seconds(1);
    fail_connections(3);
    BOOST_TEST(!play_round(0)); // The first of two again.
    BOOST_TEST(!reach.cut_off());
}

BOOST_AUTO_TEST_CASE(is_back_with_the_first_answer) {
    fail_connections(3);
    play_round(0);
    play_round(0);
    BOOST_TEST(reach.checks_due(now) == 0U);
    now += milliseconds(250);
    BOOST_TEST(!play_round(0));
    now += milliseconds(250);
    BOOST_TEST(!play_round(0, check_result::silent)); // Connections open, and nobody answers.
    BOOST_TEST(reach.cut_off());
    now += milliseconds(250);
    BOOST_TEST(play_round(1));
    BOOST_TEST(!reach.cut_off());
    BOOST_TEST(!reach.next_wakeup().has_value());
}

BOOST_AUTO_TEST_CASE(is_checked_after_connections_that_are_lost_in_a_row) {
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(reach.checks_due(now) == 0U);
        reach.note_connected(); // The handshake was completed each time.
        reach.note_loss(now);
    }
    BOOST_TEST(reach.checks_due(now) == 4U);
    reach.note_answer(now);
    BOOST_TEST(reach.checks_due(now) == 0U);
}

BOOST_AUTO_TEST_CASE(is_lost_if_connections_open_and_no_searcher_answers) {
    reach.note_answer(now);
    fall_silent(now + milliseconds(1), 3);
    BOOST_TEST(!play_round(0, check_result::silent));
    BOOST_TEST(play_round(0, check_result::silent));
    BOOST_TEST(reach.cut_off());
}

BOOST_AUTO_TEST_CASE(is_not_lost_while_slow_searchers_answer_at_last) {
    reach.note_answer(now);
    for (int n = 0; n < 10; ++n) {
        fall_silent(now + milliseconds(1), 3);
        const auto checks = reach.checks_due(now);
        reach.begin_round(checks, now);
        now += milliseconds(200);
        reach.note_answer(now); // To some request that was sent long before.
        for (std::size_t it = 0; it < checks; ++it) {
            BOOST_TEST(!reach.take_check(check_result::silent, now));
        }
        now += milliseconds(400);
    }
    BOOST_TEST(!reach.cut_off());
}

BOOST_AUTO_TEST_CASE(needs_no_checks_on_a_host_that_knows_no_searcher) {
    fail_connections(3);
    reach.begin_round(0, now);
    BOOST_TEST(!reach.next_wakeup().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_peer_that_a_request_is_passed_on_to)

BOOST_AUTO_TEST_CASE(is_a_near_one_that_has_not_failed) {
    relay_peers peers(view, 1);
    peers.set({{"p1", "a1"}, {"p2", "a2"}, {"p3", "b1"}});
    const time_point now{seconds(100)};
    const std::vector<std::string> none;
    BOOST_TEST(peers.pick(none, none, now)->address == "p1");
    peers.note_declined("p1", now);
    BOOST_TEST(peers.pick(none, none, now)->address == "p2");
    const std::vector<std::string> tried{"p2"};
    BOOST_TEST(peers.pick(tried, none, now)->address == "p3");
    peers.note_lost("p3", now);
    BOOST_TEST(!peers.pick(tried, none, now).has_value());
    BOOST_TEST(peers.pick(tried, none, now + seconds(3))->address == "p1");
}

BOOST_AUTO_TEST_CASE(may_have_left_one_request_without_an_answer_while_it_answered_others) {
    relay_peers peers(view, 1);
    peers.set({{"p1", "a1"}});
    const time_point sent{seconds(100)};
    const auto now = sent + seconds(2);
    peers.note_word("p1", sent + milliseconds(10));
    peers.note_silence("p1", sent, now);
    BOOST_TEST(peers.pick({}, {}, now).has_value());
    peers.note_silence("p1", sent + milliseconds(11), now);
    BOOST_TEST(!peers.pick({}, {}, now).has_value());
}

BOOST_AUTO_TEST_CASE(is_in_another_zone_if_none_of_the_zone_takes_it) {
    relay_peers peers(view, 1);
    std::vector<relay_peer> known{{"q1", "b1"}, {"q2", "c1"}};
    for (int n = 0; n < 8; ++n) {
        known.push_back({"p" + std::to_string(n), "a1"});
    }
    peers.set(known);
    const time_point now{seconds(100)};
    for (int n = 0; n < 3; ++n) {
        const auto near = peers.pick({}, {}, now)->address;
        BOOST_TEST(near.starts_with("p"));
        peers.note_declined(near, now);
    }
    const auto far = peers.pick({}, {}, now)->address;
    BOOST_TEST(far.starts_with("q"));
    peers.note_declined("q1", now);
    peers.note_declined("q2", now);
    const auto near = peers.pick({}, {}, now)->address;
    BOOST_TEST(near.starts_with("p"));
    // One that answers shows that not all of the zone is cut off.
    peers.note_word(near, now);
    BOOST_TEST(peers.pick({}, {}, now)->address.starts_with("p"));
}

BOOST_AUTO_TEST_CASE(is_in_a_region_that_may_have_the_request) {
    relay_peers peers(view, 1);
    peers.set({{"p2", "b1"}, {"p3", "c1"}});
    const std::vector<std::string> none;
    const std::vector<std::string> south{"south"};
    const std::vector<std::string> north{"north"};
    BOOST_TEST(peers.pick(none, south, {})->address == "p3");
    BOOST_TEST(!peers.pick(none, north, {}).has_value());
}

BOOST_AUTO_TEST_CASE(is_one_that_others_have_named) {
    relay_peers peers(view, 1);
    peers.set({{"p1", "a1"}, {"p2", "b1"}});
    time_point now{seconds(100)};
    auto asked = peers.take_questions(now);
    BOOST_TEST(asked.size() == 2U);
    BOOST_TEST(peers.take_questions(now).empty());
    peers.note_offer("p1", {false, {}}, now);
    peers.note_offer("p2", {false, {{"p3", "b1"}, {"p4", "unknown"}}}, now);
    BOOST_TEST(peers.pick({}, {}, now)->address == "p3");
    // A change of the members does not remove it.
    peers.set({{"p1", "a1"}});
    now += milliseconds(250);
    asked = peers.take_questions(now);
    BOOST_TEST(asked == std::vector<std::string>{"p3"});
    // What others name is not kept once the searchers are reached again.
    peers.forget_named();
    BOOST_TEST(!peers.pick({}, {}, now).has_value());
}

BOOST_AUTO_TEST_CASE(is_asked_for_until_enough_take_requests) {
    relay_peers peers(view, 1);
    constexpr int known_peers = 100;
    std::vector<relay_peer> known;
    known.reserve(known_peers);
    for (int n = 0; n < known_peers; ++n) {
        known.push_back({"p" + std::to_string(n), n % 2 == 0 ? "a1" : "b1"});
    }
    peers.set(known);
    time_point now{seconds(100)};
    std::size_t questions = 0;
    for (int round = 0; round < 8; ++round, now += milliseconds(250)) {
        const auto asked = peers.take_questions(now);
        BOOST_TEST(asked.size() <= 4U);
        questions += asked.size();
        for (const auto& it : asked) {
            peers.note_offer(it, {round == 2, {}}, now);
        }
    }
    BOOST_TEST(questions == 12U); // All that are asked in the third round take requests.
    now += seconds(2);
    BOOST_TEST(!peers.take_questions(now).empty()); // What they said is too long ago.
}

BOOST_AUTO_TEST_CASE(varies) {
    relay_peers peers(view, 1);
    peers.set({{"p1", "a1"}, {"p2", "a1"}, {"p3", "a1"}});
    std::map<std::string, int> picked;
    for (int n = 0; n < 300; ++n) {
        ++picked[peers.pick({}, {}, {})->address];
    }
    for (const auto& [address, count] : picked) {
        BOOST_TEST(count > 60, address);
    }
}

BOOST_AUTO_TEST_SUITE_END()
