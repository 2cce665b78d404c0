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

BOOST_AUTO_TEST_SUITE_END()
