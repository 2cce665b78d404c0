// A searcher in need states in its answers how many requests a second it accepts from all hosts together.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr duration window = seconds(4);
constexpr duration time_to_adapt = seconds(5); ///< From the first answer that states the limit
constexpr double tolerance = 1.5;
constexpr double tolerated_requests = 5.0;

std::size_t allowed(double per_second) {
    return static_cast<std::size_t>(tolerance * per_second * std::chrono::duration<double>(window).count() +
                                    tolerated_requests);
}

/// Highest number of arrivals in a window that begins at `from` or later.
std::size_t most_arrivals(const model_searcher& it, time_point from) {
    std::size_t most = 0;
    const auto& log = it.arrival_log;
    for (std::size_t first = 0, last = 0; first < log.size(); ++first) {
        while (last < log.size() && log[last].when < log[first].when + window) {
            ++last;
        }
        most = log[first].when >= from ? std::max(most, last - first) : most;
    }
    return most;
}

std::size_t arrivals_since(const model_searcher& it, time_point from) {
    return static_cast<std::size_t>(std::count_if(it.arrival_log.begin(), it.arrival_log.end(),
                                                  [&](const auto& one) { return one.when >= from; }));
}

const std::vector<std::string> eight_hosts{"a", "b", "c", "a", "b", "c", "a", "b"};

struct limited_desk {
    gateway_world world;
    static constexpr double limit = 29.0;

    explicit limited_desk(const std::vector<std::string>& zones = eight_hosts)
        : world(zones) {
        world.add_service("desk", 4, {"a", "b", "c"}, 1000);
        world.add_route(single_route("desk", repeatability::idempotent));
        world.publish();
    }
    void limit_first(std::size_t searchers, double per_second = limit) {
        for (std::size_t n = 0; n < searchers; ++n) {
            world.at("desk", n).behaviour.rate_limit = per_second;
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_searcher_that_states_a_rate_limit)

BOOST_AUTO_TEST_CASE(gets_far_more_requests_than_its_limit) {
    for (std::size_t limited = 1; limited <= 3; ++limited) {
        limited_desk it;
        it.world.load("/audit/x", 180.0, seconds(14));
        it.world.run_for(seconds(1));
        it.limit_first(limited);
        const auto from = it.world.now + time_to_adapt;
        it.world.run_for(seconds(14));
        for (std::size_t n = 0; n < limited; ++n) {
            const auto& searcher = it.world.at("desk", n);
            BOOST_TEST(most_arrivals(searcher, from) <= allowed(limited_desk::limit), limited);
        }
    }
}

BOOST_AUTO_TEST_CASE(gets_far_more_when_clients_prefer_one_zone) {
    limited_desk it;
    it.world.load_zone("a", "/audit/x", 150.0, seconds(14));
    it.world.load_zone("c", "/audit/x", 20.0, seconds(14));
    it.world.run_for(seconds(1));
    it.limit_first(3);
    const auto from = it.world.now + time_to_adapt;
    it.world.run_for(seconds(14));
    for (std::size_t n = 0; n < 3; ++n) {
        BOOST_TEST(most_arrivals(it.world.at("desk", n), from) <= allowed(limited_desk::limit));
    }
}

BOOST_AUTO_TEST_CASE(gets_far_more_when_it_also_refuses_or_is_slow) {
    for (const bool slow : {false, true}) {
        limited_desk it;
        it.world.load("/audit/x", 180.0, seconds(14));
        it.world.run_for(seconds(1));
        it.limit_first(2);
        for (std::size_t n = 0; n < 2; ++n) {
            auto& behaviour = it.world.at("desk", n).behaviour;
            behaviour.slowdown = slow ? 8.0 : 1.0;
            behaviour.refused_share = slow ? 0.0 : 0.5;
        }
        const auto from = it.world.now + time_to_adapt;
        it.world.run_for(seconds(14));
        BOOST_TEST(most_arrivals(it.world.at("desk", 0), from) <= allowed(limited_desk::limit));
        BOOST_TEST(most_arrivals(it.world.at("desk", 1), from) <= allowed(limited_desk::limit));
    }
}

BOOST_AUTO_TEST_CASE(gets_far_more_when_its_refusals_do_not_state_the_limit) {
    limited_desk it;
    it.world.load("/audit/x", 400.0, seconds(14));
    it.world.run_for(seconds(1));
    it.limit_first(3, 8.0);
    for (std::size_t n = 0; n < 3; ++n) {
        auto& behaviour = it.world.at("desk", n).behaviour;
        behaviour.refusals_state_limit = false;
        behaviour.refused_share = 0.7;
    }
    const auto from = it.world.now + time_to_adapt;
    it.world.run_for(seconds(14));
    for (std::size_t n = 0; n < 3; ++n) {
        BOOST_TEST(most_arrivals(it.world.at("desk", n), from) <= allowed(8.0));
    }
}

BOOST_AUTO_TEST_CASE(gets_far_more_after_a_quiet_time) {
    limited_desk it;
    it.limit_first(3);
    it.world.load("/audit/x", 40.0, seconds(2));
    it.world.run_for(seconds(30));
    const auto from = it.world.now;
    it.world.load("/audit/x", 400.0, seconds(6));
    it.world.run_for(seconds(8));
    for (std::size_t n = 0; n < 3; ++n) {
        BOOST_TEST(most_arrivals(it.world.at("desk", n), from) <= allowed(limited_desk::limit));
    }
}

BOOST_AUTO_TEST_CASE(gets_far_more_from_many_hosts_with_few_requests_each) {
    std::vector<std::string> zones;
    for (std::size_t n = 0; n < 195; ++n) {
        zones.push_back(eight_hosts[n % 3]);
    }
    constexpr double limit = 12.5;
    limited_desk it(zones);
    it.world.load("/audit/x", 75.0, seconds(30));
    it.world.run_for(seconds(2));
    it.limit_first(2, limit);
    const auto from = it.world.now + time_to_adapt;
    it.world.run_for(seconds(28));
    BOOST_TEST(most_arrivals(it.world.at("desk", 0), from) <= allowed(limit));
    BOOST_TEST(most_arrivals(it.world.at("desk", 1), from) <= allowed(limit));
}

BOOST_AUTO_TEST_CASE(is_used_up_to_its_limit) {
    limited_desk it;
    it.world.load("/audit/x", 180.0, seconds(14));
    it.world.run_for(seconds(1));
    it.limit_first(3);
    const auto from = it.world.now + time_to_adapt;
    it.world.run_for(seconds(13));
    const double per_second = static_cast<double>(arrivals_since(it.world.at("desk", 0), from)) / 8.0;
    BOOST_TEST(per_second >= 0.75 * limited_desk::limit);
}

BOOST_AUTO_TEST_CASE(makes_the_hosts_refuse_at_once_what_no_other_can_serve) {
    limited_desk it;
    it.world.load("/audit/x", 180.0, seconds(10));
    it.world.run_for(seconds(1));
    it.limit_first(3);
    it.world.run_for(seconds(5));
    it.world.results.clear();
    it.world.run_for(seconds(4));
    std::size_t refused = 0;
    for (const auto& one : it.world.results) {
        refused += one.status == 503 ? 1 : 0;
        BOOST_TEST((one.status == 200 || one.status == 503));
        BOOST_TEST((one.status != 503 || one.latency < milliseconds(50)));
        BOOST_TEST((one.status != 503 || one.retry_after > duration::zero()));
    }
    BOOST_TEST(refused > 0U);
}

BOOST_AUTO_TEST_CASE(is_used_as_before_once_it_states_none) {
    limited_desk it;
    it.world.load("/audit/x", 180.0, seconds(20));
    it.world.run_for(seconds(1));
    it.limit_first(3, 2.0);
    it.world.run_for(seconds(8));
    for (std::size_t n = 0; n < 3; ++n) {
        it.world.at("desk", n).behaviour.rate_limit.reset();
    }
    it.world.run_for(seconds(6)); // Each host sends to each searcher within that time.
    const auto from = it.world.now;
    it.world.results.clear();
    it.world.run_for(seconds(4));
    BOOST_TEST(arrivals_since(it.world.at("desk", 0), from) > 100U);
    BOOST_TEST(std::all_of(it.world.results.begin(), it.world.results.end(),
                           [](const auto& one) { return one.status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
