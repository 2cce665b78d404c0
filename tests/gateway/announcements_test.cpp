// What a searcher says of itself in its answers: that it shuts down, or that it wants no requests for a time.
// The store may not say so yet, or say the opposite, and other gateways may not have heard it.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr duration drain_bound = milliseconds(4000);
constexpr duration back_off_bound = milliseconds(500);

/// Number of arrivals from one host in a span of time.
std::size_t arrivals_between(const model_searcher& it, std::uint32_t host, time_point from, time_point to) {
    return static_cast<std::size_t>(
        std::count_if(it.arrival_log.begin(), it.arrival_log.end(), [&](const auto& one) {
            return one.host == host && one.when > from && one.when <= to;
        }));
}

std::size_t count_status(const gateway_world& world, int status) {
    return static_cast<std::size_t>(std::count_if(world.results.begin(), world.results.end(),
                                                  [&](const auto& it) { return it.status == status; }));
}

struct desk_fixture {
    gateway_world world{std::vector<std::string>{"a", "a"}};
    desk_fixture() {
        world.add_service("desk", 4, {"a", "b", "c"});
        world.add_route(single_route("desk", repeatability::idempotent));
        world.publish();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_searcher_that_announces_its_shutdown)

BOOST_FIXTURE_TEST_CASE(gets_nothing_more_while_its_entry_still_says_ready, desk_fixture) {
    auto& leaving = world.at("desk", 0);
    world.load("/audit/x", 200.0, seconds(10));
    world.run_for(seconds(1));
    BOOST_TEST(leaving.arrivals > 10U);
    leaving.behaviour.leaving = true;
    world.run_for(milliseconds(200)); // Each host has had an answer by then.
    const auto announced = world.now;
    for (const auto& host : world.hosts) {
        host->searchers().put(leaving.record, world.now); // A delayed entry, written before.
    }
    world.run_for(seconds(9));
    for (std::uint32_t host = 0; host < 2; ++host) {
        BOOST_TEST(arrivals_between(leaving, host, announced, world.now) == 0U);
    }
    BOOST_TEST(count_status(world, 200) == world.results.size());
    BOOST_TEST(world.hosts[0]->counters().leaving_announced == 1U);
}

BOOST_FIXTURE_TEST_CASE(serves_on_for_a_short_time_where_there_is_no_other, desk_fixture) {
    for (std::size_t n = 0; n < 3; ++n) {
        world.at("desk", n).behaviour.leaving = true;
    }
    world.load("/audit/x", 50.0, seconds(8));
    world.run_for(seconds(2));
    BOOST_TEST(count_status(world, 200) > 50U);
    world.run_for(seconds(7));
    for (std::size_t n = 0; n < 3; ++n) {
        const auto& it = world.at("desk", n);
        const auto late = it.arrival_log.front().when + drain_bound;
        BOOST_TEST(arrivals_between(it, 0, late, world.now) + arrivals_between(it, 1, late, world.now) == 0U);
    }
    const auto& last = world.results.back();
    BOOST_TEST(last.status == 503);
    BOOST_TEST((last.latency < milliseconds(5)));
    BOOST_TEST((last.retry_after > duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(is_used_again_after_it_has_started_again, desk_fixture) {
    auto& it = world.at("desk", 0);
    it.behaviour.leaving = true;
    world.load("/audit/x", 200.0, seconds(4));
    world.run_for(seconds(1));
    it.behaviour.leaving = false;
    it.record.started_at += 1;
    world.publish();
    const auto before = it.arrivals;
    world.run_for(seconds(3));
    BOOST_TEST(it.arrivals > before + 20U);
}

BOOST_FIXTURE_TEST_CASE(does_not_speak_for_the_searcher_that_had_its_address, desk_fixture) {
    auto& it = world.at("desk", 0);
    it.behaviour.leaving = true;
    it.behaviour.replaced = true;
    world.load("/audit/x", 100.0, seconds(1));
    world.run_for(seconds(2));
    BOOST_TEST(world.hosts[0]->counters().leaving_announced == 0U);
    BOOST_TEST(!world.hosts[0]->searchers().all().at(it.record.id)->leaving.has_value());
}

// Guards against requests to searchers that have refused a liveness request and named a time.
BOOST_AUTO_TEST_CASE(may_say_so_in_its_answer_to_a_liveness_request) {
    gateway_world world;
    world.add_service("desk", 4, {"a", "b", "c"});
    world.add_route(single_route("desk", repeatability::at_most_once));
    world.publish();
    const auto for_each_searcher = [&](const std::function<void(model_searcher&)>& action) {
        for (const auto& it : world.searchers.at("desk")) {
            action(*it);
        }
    };
    for_each_searcher([](auto& it) { it.behaviour.lost_share = 1.0; });
    for (int n = 0; n < 3; ++n) {
        world.send_request("/audit/lost/" + std::to_string(n));
    }
    world.run_for(milliseconds(25)); // The requests run, and their answers will be lost.
    for_each_searcher([](auto& it) { it.behaviour.back_off = seconds(4); });
    world.run_for(milliseconds(600));
    BOOST_TEST(world.hosts[0]->counters().back_offs == 3U);
    for_each_searcher([](auto& it) {
        it.behaviour.lost_share = 0.0;
        it.behaviour.back_off.reset();
    });
    const auto told = world.now;
    for (int n = 0; n < 50; ++n) {
        world.send_request("/audit/later/" + std::to_string(n));
        world.run_for(milliseconds(50));
    }
    for_each_searcher(
        [&](const auto& it) { BOOST_TEST(arrivals_between(it, 0, told, world.now) == 0U, it.record.id); });
    world.run_for(seconds(2));
    BOOST_TEST(world.send_request("/audit/after") > 0U);
    world.run_for(seconds(1));
    BOOST_TEST(world.results.back().status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_searcher_that_asks_for_no_requests)

BOOST_FIXTURE_TEST_CASE(gets_none_from_that_host_until_the_time_is_over, desk_fixture) {
    auto& busy = world.at("desk", 0);
    busy.behaviour.back_off = seconds(3);
    world.load("/audit/x", 300.0, seconds(8));
    world.run_for(milliseconds(500));
    busy.behaviour.back_off.reset();
    world.run_for(milliseconds(7500));
    for (std::uint32_t host = 0; host < 2; ++host) {
        const auto first = std::find_if(busy.arrival_log.begin(), busy.arrival_log.end(),
                                        [&](const auto& it) { return it.host == host; });
        BOOST_TEST_REQUIRE((first != busy.arrival_log.end()));
        const auto from = first->when + back_off_bound;
        BOOST_TEST(arrivals_between(busy, host, from, first->when + seconds(3)) == 0U);
        BOOST_TEST(arrivals_between(busy, host, first->when + seconds(3), world.now) > 20U);
    }
    BOOST_TEST(count_status(world, 200) == world.results.size());
}

BOOST_FIXTURE_TEST_CASE(counts_as_without_capacity_and_not_as_faulty, desk_fixture) {
    auto& busy = world.at("desk", 0);
    busy.behaviour.back_off = seconds(2);
    world.load("/audit/x", 300.0, seconds(1));
    world.run_for(seconds(1));
    const auto& known = *world.hosts[0]->searchers().all().at(busy.record.id);
    BOOST_TEST(known.failure_rate == 0.0);
    BOOST_TEST((known.fault == searcher_fault::none));
}

BOOST_FIXTURE_TEST_CASE(gets_no_hedged_requests_either, desk_fixture) {
    auto& busy = world.at("desk", 1);
    busy.behaviour.back_off = seconds(5);
    world.load("/audit/x", 300.0, milliseconds(300));
    world.run_for(milliseconds(900));
    const auto from = world.now;
    world.at("desk", 0).behaviour.slowdown = 30.0;
    world.at("desk", 2).behaviour.slowdown = 30.0;
    world.load("/audit/x", 100.0, seconds(3));
    world.run_for(seconds(3));
    BOOST_TEST(arrivals_between(busy, 0, from, world.now) + arrivals_between(busy, 1, from, world.now) == 0U);
    BOOST_TEST(world.hosts[0]->counters().extra_attempts > 0U);
}

BOOST_FIXTURE_TEST_CASE(makes_the_host_refuse_at_once_where_there_is_no_other, desk_fixture) {
    for (std::size_t n = 0; n < 3; ++n) {
        world.at("desk", n).behaviour.back_off = seconds(2 + n);
    }
    world.load("/audit/x", 100.0, seconds(1));
    world.run_for(seconds(1));
    world.results.clear();
    world.send_request("/audit/x", 0);
    BOOST_TEST_REQUIRE(world.results.size() == 1U);
    const auto& it = world.results.front();
    BOOST_TEST(it.status == 503);
    BOOST_TEST((it.latency == duration::zero()));
    BOOST_TEST((it.retry_after >= milliseconds(900)));
    BOOST_TEST((it.retry_after <= seconds(4)));
}

BOOST_AUTO_TEST_SUITE(that_holds_one_shard)

struct shards_fixture {
    gateway_world world;
    void start(double min_share) {
        const std::vector<std::string> services{"s0", "s1", "s2", "s3"};
        for (const auto& it : services) {
            world.add_service(it, 4, {"a", "b", "c"});
        }
        world.add_route(shard_route(services, min_share));
        world.publish();
        for (std::size_t n = 0; n < 3; ++n) {
            world.at("s2", n).behaviour.back_off = seconds(3);
        }
        world.load("/search/x", 60.0, milliseconds(300));
        world.run_for(milliseconds(600));
        world.results.clear();
    }
};

BOOST_FIXTURE_TEST_CASE(leaves_out_that_part_at_once, shards_fixture) {
    start(0.75);
    world.send_request("/search/x");
    world.run_for(milliseconds(150));
    BOOST_TEST_REQUIRE(world.results.size() == 1U);
    BOOST_TEST(world.results[0].status == 200);
    BOOST_TEST(world.results[0].missing == 1U);
    BOOST_TEST((world.results[0].latency < milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(refuses_without_sending_where_the_part_is_needed, shards_fixture) {
    start(1.0);
    const auto before = world.at("s0").arrivals;
    world.send_request("/search/x");
    BOOST_TEST_REQUIRE(world.results.size() == 1U);
    BOOST_TEST(world.results[0].status == 503);
    BOOST_TEST((world.results[0].retry_after >= seconds(2)));
    world.run_for(seconds(1));
    BOOST_TEST(world.at("s0").arrivals == before);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
