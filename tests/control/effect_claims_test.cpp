// At-most-once execution: each key runs at most once, and each answer is correct, under faults of the
// platform, the hosts and the upstream.
#include "effect_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr std::uint64_t schedule_count = 3000;

bool failed_with(const result<effect_answer>& answer, error_kind kind, run_state ran) {
    return answer.has_error() && answer.error().kind == kind && answer.error().ran == ran;
}

claim_record stored_claim(effect_world& world, const std::string& key) {
    const auto address = claim_address_of("integra", "billing", key);
    const auto found = world.platform.objects.find({address.kind, address.name});
    BOOST_REQUIRE(found != world.platform.objects.end());
    return decode_claim(found->second.value_json).value();
}

bool has_claim(effect_world& world, const std::string& key) {
    const auto address = claim_address_of("integra", "billing", key);
    return world.platform.objects.contains({address.kind, address.name});
}

/// Checks the invariants that hold after any schedule.
void check_invariants(effect_world& world) {
    for (const auto& [key, n] : world.upstream.runs_by_key) {
        BOOST_TEST(n <= 1, key << " ran " << n << " times");
    }
    for (const auto& [id, answer] : world.answers) {
        BOOST_TEST(world.answer_counts.at(id) == 1);
        const auto& key = world.key_of.at(id);
        if (answer.has_value()) {
            BOOST_TEST(answer.value().body_json == world.upstream.body_by_key[key]);
        } else if (answer.error().ran == run_state::no) {
            BOOST_TEST(world.upstream.runs_by_arrival[id] == 0, "arrival " << id << " ran");
        }
    }
}

/// Draws up to two kinds of fault for one schedule.
void draw_faults(effect_world& world) {
    auto& faults = world.platform.faults;
    auto& random = world.random;
    for (int it = 0; it < 2; ++it) {
        switch (pick(random, 8)) {
        case 0:
            faults.lose_answers = 0.4;
            break;
        case 1:
            faults.lose_requests = 0.4;
            break;
        case 2:
            faults.throttle = 0.5;
            break;
        case 3:
            faults.max_delay = milliseconds(1500);
            break;
        case 4:
            world.upstream.not_run_share = 0.5;
            break;
        case 5:
            world.upstream.unanswered_share = 0.5;
            break;
        case 6:
            world.upstream.undelivered_share = 0.5;
            break;
        default:
            break;
        }
    }
}

/// Schedules host crashes, restarts and pauses, and platform outages, at random times within five seconds.
void draw_crashes_and_outages(effect_world& world) {
    auto& random = world.random;
    const auto n = pick(random, 4);
    for (std::uint32_t it = 0; it < n; ++it) {
        const auto when = milliseconds(pick(random, 5000));
        const auto host = pick(random, static_cast<std::uint32_t>(world.hosts.size()));
        switch (pick(random, 3)) {
        case 0:
            world.clock.after(when, [&world, host] { world.hosts[host]->crash(); });
            world.clock.after(when + milliseconds(300), [&world, host] {
                world.hosts[host]->start();
                world.share_members();
            });
            break;
        case 1:
            world.clock.after(when, [&world, host] { world.hosts[host]->pause(seconds(7)); });
            break;
        default:
            world.clock.after(when, [&world] { world.platform.faults.down = true; });
            world.clock.after(when + seconds(1), [&world] { world.platform.faults.down = false; });
        }
    }
}

/// Schedules a caller's concurrent retries of the same keys on all hosts.
void draw_requests(effect_world& world) {
    auto& random = world.random;
    for (int key = 0; key < 4; ++key) {
        const auto arrivals = 1 + pick(random, 6);
        for (std::uint32_t it = 0; it < arrivals; ++it) {
            const auto host = pick(random, static_cast<std::uint32_t>(world.hosts.size()));
            const auto* body = chance(random, 0.1) ? "{\"other\":1}" : "{}";
            world.clock.after(milliseconds(pick(random, 5000)), [&world, host, key, body] {
                if (world.hosts[host]->is_up()) {
                    world.submit(host, "key" + std::to_string(key), body);
                }
            });
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_SUITE(without_faults)

BOOST_AUTO_TEST_CASE(a_request_is_claimed_run_stored_and_then_answered) {
    effect_world world(1);
    const auto first = world.submit(0, "a");
    world.run_for(seconds(1));
    BOOST_REQUIRE(world.answers.at(first).has_value());
    BOOST_TEST(!world.answers.at(first).value().replayed);
    BOOST_TEST((stored_claim(world, "a").state == claim_state::done));
    BOOST_TEST(world.platform.calls[platform_method::create] == 1U);
    BOOST_TEST(world.platform.calls[platform_method::update] == 1U);
    BOOST_TEST(world.platform.calls[platform_method::get] == 0U);
}

BOOST_AUTO_TEST_CASE(a_repeat_on_another_host_gets_the_stored_outcome) {
    effect_world world(2);
    const auto first = world.submit(0, "a");
    world.run_for(seconds(1));
    const auto repeat = world.submit(1, "a");
    world.run_for(seconds(1));
    BOOST_REQUIRE(world.answers.at(repeat).has_value());
    BOOST_TEST(world.answers.at(repeat).value().replayed);
    BOOST_TEST(world.answers.at(repeat).value().body_json == world.answers.at(first).value().body_json);
    BOOST_TEST(world.upstream.runs_by_key["a"] == 1);
}

BOOST_AUTO_TEST_CASE(the_same_key_with_another_body_is_refused) {
    effect_world world(3);
    world.submit(0, "a");
    world.run_for(seconds(1));
    const auto other = world.submit(1, "a", "{\"other\":1}");
    world.run_for(seconds(1));
    BOOST_TEST(failed_with(world.answers.at(other), error_kind::key_reused, run_state::no));
}

BOOST_AUTO_TEST_CASE(a_repeat_of_an_active_request_gets_duplicate_under_way) {
    effect_world world(4);
    world.submit(0, "a");
    const auto here = world.submit(0, "a");
    const auto there = world.submit(1, "a");
    world.run_for(seconds(1));
    BOOST_TEST(failed_with(world.answers.at(here), error_kind::duplicate_under_way, run_state::unknown));
    BOOST_TEST(world.upstream.runs_by_key["a"] == 1);
    check_invariants(world);
    BOOST_TEST(world.answers.contains(there));
}

BOOST_AUTO_TEST_CASE(the_same_key_of_another_service_is_another_request) {
    BOOST_TEST(claim_address_of("c", "ab", "c").name != claim_address_of("c", "a", "bc").name);
    BOOST_TEST(claim_address_of("c", "s", "k").name != claim_address_of("d", "s", "k").name);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_one_fault)

BOOST_AUTO_TEST_CASE(no_request_runs_during_a_platform_outage) {
    effect_world world(5);
    world.platform.faults.down = true;
    const auto id = world.submit(0, "a");
    world.run_for(seconds(3));
    BOOST_TEST(failed_with(world.answers.at(id), error_kind::platform_unavailable, run_state::no));
    BOOST_TEST(world.upstream.runs_by_key["a"] == 0);
}

BOOST_AUTO_TEST_CASE(a_lost_create_answer_is_resolved_by_reading_the_claim) {
    effect_world world(6);
    world.platform.faults.lose_answers = 1;
    const auto id = world.submit(0, "a");
    world.clock.after(milliseconds(20), [&] { world.platform.faults.lose_answers = 0; });
    world.run_for(seconds(3));
    BOOST_TEST(world.answers.at(id).has_value());
    BOOST_TEST(world.upstream.runs_by_key["a"] == 1);
}

BOOST_AUTO_TEST_CASE(a_create_that_takes_effect_after_the_deadline_is_removed) {
    effect_world world(7);
    world.platform.faults.max_delay = seconds(8);
    const auto id = world.submit(0, "a", "{}", milliseconds(1));
    world.run_for(seconds(120));
    BOOST_TEST(failed_with(world.answers.at(id), error_kind::platform_unavailable, run_state::no));
    BOOST_TEST(!has_claim(world, "a"));
    BOOST_TEST(world.hosts[0]->claims().unsettled() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_not_run_may_run_later) {
    effect_world world(8);
    world.upstream.not_run_share = 1;
    const auto first = world.submit(0, "a");
    world.run_for(seconds(1));
    BOOST_TEST((world.answers.at(first).error().ran == run_state::no));
    world.upstream.not_run_share = 0;
    const auto second = world.submit(1, "a");
    world.run_for(seconds(1));
    BOOST_TEST(world.answers.at(second).has_value());
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_stays_unknown) {
    effect_world world(9);
    world.upstream.unanswered_share = 1;
    const auto first = world.submit(0, "a");
    world.run_for(seconds(1));
    world.upstream.unanswered_share = 0;
    const auto second = world.submit(1, "a");
    world.run_for(seconds(60));
    const auto third = world.submit(2, "a");
    world.run_for(seconds(1));
    for (const auto id : {first, second, third}) {
        BOOST_TEST(failed_with(world.answers.at(id), error_kind::outcome_unknown, run_state::unknown));
    }
    BOOST_TEST(world.upstream.runs_by_key["a"] == 1);
}

BOOST_AUTO_TEST_CASE(the_claim_of_a_crashed_host_is_answered_as_unknown_and_never_run_again) {
    effect_world world(10);
    world.submit(0, "a");
    world.clock.after(milliseconds(15), [&] { world.hosts[0]->crash(); });
    world.run_for(seconds(1));
    world.share_members();
    BOOST_REQUIRE(has_claim(world, "a"));
    const auto repeat = world.submit(1, "a");
    world.run_for(seconds(1));
    BOOST_TEST(failed_with(world.answers.at(repeat), error_kind::outcome_unknown, run_state::unknown));
}

BOOST_AUTO_TEST_CASE(a_host_that_was_paused_past_the_dispatch_window_does_not_dispatch) {
    effect_world world(11);
    const auto id = world.submit(0, "a", "{}", seconds(60));
    world.hosts[0]->pause(seconds(6));
    world.run_for(seconds(70));
    BOOST_TEST((world.answers.at(id).error().ran == run_state::no));
    BOOST_TEST(world.upstream.runs_by_key["a"] == 0);
    BOOST_TEST(!has_claim(world, "a"));
}

BOOST_AUTO_TEST_CASE(the_outcome_is_stored_after_an_outage_that_began_during_the_run) {
    effect_world world(12);
    const auto id = world.submit(0, "a");
    world.clock.after(milliseconds(11), [&] { world.platform.faults.down = true; });
    world.clock.after(seconds(20), [&] { world.platform.faults.down = false; });
    world.run_for(seconds(10));
    BOOST_REQUIRE(world.answers.at(id).has_value());
    BOOST_TEST((stored_claim(world, "a").state == claim_state::claimed));
    world.run_for(seconds(30));
    BOOST_TEST((stored_claim(world, "a").state == claim_state::done));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(over_thousands_of_schedules_no_key_runs_twice_and_every_answer_is_correct) {
    std::uint64_t runs = 0;
    std::uint64_t answers = 0;
    std::map<std::string_view, int> by_kind;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            effect_world world(seed);
            draw_faults(world);
            draw_crashes_and_outages(world);
            draw_requests(world);
            world.run_for(seconds(60));
            check_invariants(world);
            runs += world.upstream.runs_by_key.size();
            answers += world.answers.size();
            for (const auto& [id, it] : world.answers) {
                ++by_kind[it.has_value() ? "done" : name_of(it.error().kind)];
                // Guards against a 503 for an effect whose earlier claim could not be read: it may have run.
                const int status = it.has_value() ? 200 : answer_for(it.error().kind).http_status;
                BOOST_TEST(((status != 429 && status != 503) || it.error().ran == run_state::no),
                           status << " " << it.error().detail);
            }
        }
    }
    for (const auto& [kind, n] : by_kind) {
        BOOST_TEST_MESSAGE(kind << ": " << n);
    }
    BOOST_TEST_MESSAGE("keys that ran: " << runs << ", answers: " << answers);
    for (const auto* kind :
         {"done", "duplicate_under_way", "key_reused", "outcome_unknown", "platform_unavailable"}) {
        BOOST_TEST(by_kind[kind] > 0, kind << " never occurred");
    }
}

BOOST_AUTO_TEST_SUITE_END()
