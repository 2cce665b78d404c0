// Tests that a request which crashes each searcher that runs it is soon sent to none, while the requests
// beside it are served.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr std::size_t allowed_crashes = 3;
constexpr std::size_t allowed_retries = 3;
constexpr duration time_to_tell = seconds(5); ///< Time in which all hosts have to know of the third crash.

/// Number of times that `path` was sent to a searcher later than `time_to_tell` after it crashed the third.
std::size_t sent_too_late(const gateway_world& world, const std::string& path) {
    std::vector<time_point> ends;
    for (const auto& it : world.crashes) {
        if (it.path == path) {
            ends.push_back(it.when);
        }
    }
    BOOST_TEST_REQUIRE(ends.size() >= allowed_crashes);
    const auto bound = ends[allowed_crashes - 1] + time_to_tell;
    return static_cast<std::size_t>(
        std::count_if(world.deadly_sent.begin(), world.deadly_sent.end(),
                      [&](const auto& it) { return it.path == path && it.when > bound; }));
}

/// Clients that send the same request again and again, at any host.
void send_again_and_again(gateway_world& world, const std::string& path, duration interval, duration time) {
    std::uint32_t n = 0;
    for (duration at{}; at < time; at += interval) {
        const auto host = (n++ * 3) % static_cast<std::uint32_t>(world.hosts.size());
        world.after(at, [&world, path, host] { world.send_request(path, host); });
    }
}

std::size_t count_results(const gateway_world& world, const std::string& below,
                          const std::function<bool(const client_result& it)>& counts) {
    return static_cast<std::size_t>(
        std::count_if(world.results.begin(), world.results.end(),
                      [&](const auto& it) { return it.path.starts_with(below + "/") && counts(it); }));
}

std::size_t count_requests(const gateway_world& world, const std::string& below) {
    return count_results(world, below, [](const auto&) { return true; });
}

std::size_t count_served(const gateway_world& world, const std::string& below) {
    return count_results(world, below, [](const auto& it) { return it.status == 200; });
}

std::size_t count_faults(const gateway_world& world, const std::string& below, const std::string& fault) {
    return count_results(world, below, [&](const auto& it) { return it.fault == fault; });
}

struct desk_fixture {
    gateway_world world{8};
    desk_fixture() { world.work = milliseconds(160); }

    void add_desk(repeatability repeat) {
        std::vector<std::string> zones;
        for (std::size_t n = 0; n < 6; ++n) {
            zones.insert(zones.end(), {"a", "b", "c"});
        }
        world.add_service("desk", 4, zones, 110);
        world.add_route(single_route("desk", repeat));
        world.publish();
        world.deadly_paths = {"/audit/deadly"};
    }
};

struct shards_fixture {
    gateway_world world{8};
    shards_fixture() {
        std::vector<std::string> names;
        for (int n = 0; n < 10; ++n) {
            names.push_back("shard-" + std::to_string(n));
            world.add_service(names.back(), 4, {"a", "b", "c"});
        }
        world.add_route(shard_route(names, 0.89));
        world.publish();
        world.deadly_paths = {"/search/deadly"};
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_each_searcher,
                      *boost::unit_test::label("known_red") * boost::unit_test::disabled())

BOOST_FIXTURE_TEST_CASE(is_sent_on_and_on_if_it_must_not_run_twice, desk_fixture) {
    add_desk(repeatability::at_most_once);
    send_again_and_again(world, "/audit/deadly", milliseconds(700), seconds(30));
    world.load("/audit/x", 45.0, seconds(30));
    world.run_for(seconds(40));
    BOOST_TEST(sent_too_late(world, "/audit/deadly") <= allowed_retries);
}

BOOST_FIXTURE_TEST_CASE(is_sent_on_and_on_if_it_may_run_twice, desk_fixture) {
    add_desk(repeatability::idempotent);
    send_again_and_again(world, "/audit/deadly", milliseconds(700), seconds(30));
    world.load("/audit/x", 45.0, seconds(30));
    world.run_for(seconds(40));
    BOOST_TEST(sent_too_late(world, "/audit/deadly") <= allowed_retries);
}

BOOST_FIXTURE_TEST_CASE(is_sent_on_and_on_to_all_shards, shards_fixture) {
    send_again_and_again(world, "/search/deadly", milliseconds(700), seconds(30));
    world.load("/search/x", 100.0, seconds(30));
    world.run_for(seconds(40));
    BOOST_TEST(sent_too_late(world, "/search/deadly") <= allowed_retries);
}

BOOST_FIXTURE_TEST_CASE(costs_one_searcher_for_each_time_it_is_sent, shards_fixture) {
    world.load("/search/x", 100.0, seconds(3));
    world.after(seconds(1), [this] { world.send_request("/search/deadly", 0); });
    world.run_for(seconds(2));
    const std::size_t one_of_each_shard = 10;
    BOOST_TEST(world.crashes.size() <= one_of_each_shard + allowed_crashes);
    BOOST_TEST((world.hosts[5]->suspects().of("/search/deadly", world.now) == suspicion::refused));
}

BOOST_FIXTURE_TEST_CASE(is_refused_at_once_and_told_for_how_long, desk_fixture) {
    add_desk(repeatability::at_most_once);
    send_again_and_again(world, "/audit/deadly", milliseconds(700), milliseconds(2100));
    world.run_for(seconds(10));
    const auto sent = world.deadly_sent.size();
    world.send_request("/audit/deadly", 6);
    world.run_for(seconds(1));
    const auto& last = world.results.back();
    BOOST_TEST(world.deadly_sent.size() == sent);
    BOOST_TEST(last.status == 503);
    BOOST_TEST(last.fault == "crashes_searchers");
    BOOST_TEST((last.latency < milliseconds(1)));
    const auto until = world.now - seconds(1) + last.retry_after;
    BOOST_TEST((world.hosts[6]->suspects().refused_until("/audit/deadly", world.now - seconds(1)) == until));
}

BOOST_FIXTURE_TEST_CASE(is_tried_again_later_and_refused_after_one_more_end, desk_fixture) {
    add_desk(repeatability::at_most_once);
    send_again_and_again(world, "/audit/deadly", milliseconds(700), milliseconds(2100));
    world.run_for(seconds(10));
    BOOST_TEST(world.crashes.size() == allowed_crashes);
    world.run_for(seconds(600));
    send_again_and_again(world, "/audit/deadly", milliseconds(700), seconds(7));
    world.run_for(seconds(10));
    BOOST_TEST(world.crashes.size() == allowed_crashes + 1);
}

BOOST_FIXTURE_TEST_CASE(is_sent_again_once_it_no_longer_crashes_them, desk_fixture) {
    add_desk(repeatability::at_most_once);
    send_again_and_again(world, "/audit/deadly", milliseconds(700), milliseconds(2100));
    world.run_for(seconds(10));
    world.deadly_paths.clear();
    world.run_for(seconds(600));
    send_again_and_again(world, "/audit/deadly", milliseconds(700), seconds(7));
    world.run_for(seconds(10));
    for (std::size_t n = world.results.size() - 10; n < world.results.size(); ++n) {
        BOOST_TEST(world.results[n].status == 200);
    }
    for (const auto& it : world.hosts) {
        BOOST_TEST((it->suspects().of("/audit/deadly", world.now) == suspicion::none));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests_beside_one_that_crashes_searchers)

BOOST_FIXTURE_TEST_CASE(are_not_refused_for_it, desk_fixture) {
    add_desk(repeatability::idempotent);
    send_again_and_again(world, "/audit/deadly", milliseconds(700), seconds(30));
    // Each searcher has several requests open, so that each end hits some of them.
    world.load("/audit/x", 250.0, seconds(30));
    world.run_for(seconds(40));
    BOOST_TEST(world.crashes.size() >= allowed_crashes);
    BOOST_TEST(count_faults(world, "/audit/x", "crashes_searchers") == 0U);
    BOOST_TEST(count_served(world, "/audit/x") == count_requests(world, "/audit/x"));
}

BOOST_FIXTURE_TEST_CASE(are_not_refused_for_it_on_all_shards, shards_fixture) {
    // Several hosts in turn, so that each zone's searchers end once with other queries open at them.
    for (int n = 0; n < 3; ++n) {
        world.deadly_paths.insert("/search/deadly-" + std::to_string(n));
        world.after(n * milliseconds(4500) + seconds(1), [this, n] {
            world.send_request("/search/deadly-" + std::to_string(n), static_cast<std::uint32_t>(n));
        });
    }
    world.load("/search/x", 200.0, seconds(16));
    world.run_for(seconds(20));
    BOOST_TEST(world.crashes.size() >= 3 * allowed_crashes);
    BOOST_TEST(count_faults(world, "/search/x", "crashes_searchers") == 0U);
    BOOST_TEST(count_served(world, "/search/x") >= count_requests(world, "/search/x") * 99 / 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(searchers_that_end_for_another_reason)

BOOST_FIXTURE_TEST_CASE(do_not_make_requests_be_refused_when_zones_end_in_turn, shards_fixture) {
    // One zone after the other loses all its searchers, each while the one before is still starting.
    for (std::size_t n = 0; n < 12; ++n) {
        world.after(seconds(1) + n * milliseconds(1600), [this, n] {
            for (auto& [service, list] : world.searchers) {
                if (!list[n % 3]->ended) {
                    world.crash(*list[n % 3]);
                }
            }
        });
    }
    world.load("/search/x", 400.0, seconds(22));
    world.run_for(seconds(30));
    BOOST_TEST(count_faults(world, "/search/x", "crashes_searchers") == 0U);
}

BOOST_FIXTURE_TEST_CASE(do_not_make_requests_be_refused_when_they_go_down_and_up, desk_fixture) {
    add_desk(repeatability::idempotent);
    for (std::size_t n = 0; n < 300; ++n) {
        world.after(seconds(1) + n * milliseconds(100), [this, n] {
            auto& it = world.at("desk", (n * 7) % 18);
            if (!it.ended) {
                world.crash(it);
            }
        });
    }
    world.load("/audit/x", 250.0, seconds(32));
    world.run_for(seconds(40));
    BOOST_TEST(count_faults(world, "/audit/x", "crashes_searchers") == 0U);
}

BOOST_AUTO_TEST_CASE(do_not_hold_queries_whose_answers_they_lose) {
    gateway_world world;
    for (const auto* const it : {"s0", "s1"}) {
        world.add_service(it, 8, {"a", "b", "c"});
    }
    auto route = shard_route({"s0", "s1"}, 1.0);
    route.max_attempts = 3;
    route.objective = seconds(2);
    world.add_route(route);
    world.publish();
    world.send_request("/search/before");
    world.run_for(seconds(1));
    for (const auto* const it : {"s0", "s1"}) {
        for (std::size_t zone = 0; zone < 3; ++zone) {
            world.at(it, zone).behaviour.lost_share = 1.0;
        }
    }
    // The second query loses its connections while the searchers have just been checked.
    world.send_request("/search/first");
    world.run_for(milliseconds(250));
    world.send_request("/search/second");
    world.run_for(seconds(5));
    BOOST_TEST_REQUIRE(world.results.size() == 3U);
    for (const auto& it : world.results) {
        BOOST_TEST((it.latency < milliseconds(500)), it.path);
    }
}

BOOST_FIXTURE_TEST_CASE(are_told_from_searchers_that_only_lose_answers, desk_fixture) {
    add_desk(repeatability::idempotent);
    for (auto& it : world.searchers["desk"]) {
        it->behaviour.lost_share = 0.5;
    }
    world.load("/audit/x", 100.0, seconds(20));
    world.run_for(seconds(30));
    BOOST_TEST(count_faults(world, "/audit/x", "crashes_searchers") == 0U);
    for (const auto& it : world.hosts) {
        BOOST_TEST(it->suspects().size() == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_that_starts_again)

BOOST_FIXTURE_TEST_CASE(learns_from_the_others_what_crashes_searchers, desk_fixture) {
    add_desk(repeatability::at_most_once);
    send_again_and_again(world, "/audit/deadly", milliseconds(700), milliseconds(2100));
    world.run_for(seconds(60));
    crash_suspects fresh;
    fresh.merge(world.hosts[0]->suspects().reports_since(0, world.now), world.now);
    BOOST_TEST((fresh.refused_until("/audit/deadly", world.now) ==
                world.hosts[0]->suspects().refused_until("/audit/deadly", world.now)));
}

BOOST_AUTO_TEST_SUITE_END()
