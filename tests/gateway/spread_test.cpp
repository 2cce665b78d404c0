// Tests that a confirmed change is in force in time on every gateway that reaches the store, whatever happens
// to the gateways that it follows.
#include "spread_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr duration settle_time = seconds(9); ///< Longer than the discovery of the group takes

/// Runs the world from a fault until a change at each of several moments after it has to be in force.
duration longest_time_in_force(const std::function<std::unique_ptr<spread_world>()>& make,
                               const std::function<void(spread_world&)>& fault, duration bound) {
    duration longest{};
    for (int phase = 0; phase < 14; ++phase) {
        auto world = make();
        // The fault meets the polls and watches at different moments.
        world->run_for(settle_time + phase * milliseconds(140));
        fault(*world);
        world->run_for(milliseconds(phase % 7 * 400 + 40));
        world->change_configuration();
        world->run_for(2 * bound);
        const auto time = world->time_in_force();
        longest = std::max(longest, time.value_or(duration::max()));
    }
    return longest;
}

struct small_deployment {
    duration bound = seconds(4);

    [[nodiscard]] std::function<std::unique_ptr<spread_world>()> make() const {
        return [bound = bound] { return std::make_unique<spread_world>(3, 3, bound); };
    }
};

void set_access(spread_world& world, std::size_t first, store_access access) {
    for (std::size_t zone = 0; zone < 3; ++zone) {
        for (std::size_t n = 0; n < first; ++n) {
            world.host(zone, n).access = access;
        }
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_confirmed_change, small_deployment)

BOOST_AUTO_TEST_CASE(is_in_force_at_once_while_nothing_fails) {
    const auto time = longest_time_in_force(
        make(), [](auto&) {}, bound);
    BOOST_TEST(to_ms(time) <= 250);
}

BOOST_AUTO_TEST_CASE(is_late_when_the_store_refuses_every_watching_gateway) {
    const auto time = longest_time_in_force(
        make(), [](auto& world) { set_access(world, 1, store_access::refused); }, bound);
    BOOST_TEST(to_ms(time) <= to_ms(bound));
}

BOOST_AUTO_TEST_CASE(is_late_when_every_watching_gateway_silently_loses_the_store) {
    const auto time = longest_time_in_force(
        make(), [](auto& world) { set_access(world, 1, store_access::silent); }, bound);
    BOOST_TEST(to_ms(time) <= to_ms(bound));
}

BOOST_AUTO_TEST_CASE(is_late_when_all_but_one_gateway_of_each_zone_lose_the_store) {
    for (const auto access : {store_access::refused, store_access::silent}) {
        const auto time = longest_time_in_force(
            make(), [access](auto& world) { set_access(world, 2, access); }, bound);
        BOOST_TEST(to_ms(time) <= to_ms(bound));
    }
}

BOOST_AUTO_TEST_CASE(is_late_when_a_followed_gateway_stands_still) {
    const auto time = longest_time_in_force(
        make(),
        [](auto& world) {
            set_access(world, 2, store_access::refused);
            world.host(0, 0).frozen = true;
            world.host(0, 1).frozen = true;
        },
        bound);
    BOOST_TEST(to_ms(time) <= to_ms(bound));
}

BOOST_AUTO_TEST_CASE(is_late_on_large_zones_that_lose_their_first_gateways) {
    const auto large_bound = seconds(5);
    for (const auto access : {store_access::refused, store_access::silent}) {
        spread_world world(3, 24, large_bound);
        world.run_for(settle_time);
        set_access(world, 8, access);
        world.run_for(milliseconds(500));
        world.evacuate("a");
        world.change_configuration();
        world.run_for(2 * large_bound);
        BOOST_TEST(to_ms(world.time_in_force().value_or(seconds(99))) <= to_ms(large_bound));
        BOOST_TEST(to_ms(world.time_evacuated().value_or(seconds(99))) <= to_ms(large_bound));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_absent_store)

BOOST_AUTO_TEST_CASE(is_asked_by_one_more_gateway_of_a_zone_at_a_time_and_seldom_by_each) {
    constexpr std::size_t hosts = 35;
    for (const auto access : {store_access::refused, store_access::silent}) {
        spread_world world(3, hosts, seconds(4));
        world.run_for(settle_time);
        std::map<std::string, std::uint64_t> before;
        world.for_each([&](spread_host& it) {
            before[it.who.name] = it.store_calls;
            it.access = access;
        });
        const auto asked_in_first_zone = [&] {
            std::size_t n = 0;
            world.for_each([&](spread_host& it) {
                n += it.who.zone == "a" && it.store_calls > before[it.who.name] ? 1 : 0;
            });
            return n;
        };
        // One more gateway each half second, until each has to find out for itself.
        for (int halves = 1; halves <= 4; ++halves) {
            world.run_for(milliseconds(500));
            BOOST_TEST(asked_in_first_zone() <= 1U + static_cast<std::size_t>(halves));
        }
        world.run_for(seconds(8));
        BOOST_TEST(asked_in_first_zone() == hosts);
        // Then each asks once a second at most, and for the configuration alone.
        for (std::size_t n = 1; n < hosts; ++n) {
            const auto& it = world.host(0, n);
            BOOST_TEST(it.store_calls - before[it.who.name] <= 9U, it.who.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(makes_one_gateway_of_a_zone_follow_another_region_and_not_all) {
    for (const auto access : {store_access::refused, store_access::silent}) {
        spread_world world(3, 24, seconds(4));
        world.run_for(settle_time);
        world.for_each([](spread_host& it) { it.polls_to_other_zones = 0; });
        set_access(world, 8, access);
        world.run_for(seconds(9));
        std::size_t following = 0;
        world.for_each([&](spread_host& it) { following += it.polls_to_other_zones > 0 ? 1 : 0; });
        BOOST_TEST(following == 3U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
