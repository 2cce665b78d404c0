// Searchers that become cold while no host sends to them: what they get before and after their report.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr double cold_rate = 4.0;
constexpr std::size_t cold_bound = 11; ///< The users' limit: 1.5 times the rate plus 5 in any second.

/// One searcher in each of two zones, under a steady load of all hosts.
struct two_zones {
    gateway_world world;
    model_searcher& returning;

    explicit two_zones(const std::vector<std::string>& host_zones = {"a", "b", "c"})
        : world(host_zones)
        , returning(add_desk(world)) {
        world.add_route(single_route("desk", repeatability::idempotent));
        world.cold_rate("desk", cold_rate);
        world.warm_up("desk", seconds(3));
        world.publish();
        world.load("/audit/x", 100.0, seconds(60));
        world.run_for(seconds(4));
    }

    static model_searcher& add_desk(gateway_world& world) {
        world.add_service("desk", 8, {"a", "b"}, 200);
        return world.at("desk", 0);
    }

    void evacuate_for(duration time) {
        world.set_evacuated({returning.record.zone});
        world.run_for(time);
        world.set_evacuated({});
        returned_at = world.now;
    }

    void report_cold_for(duration time) {
        auto record = returning.record;
        record.cold_for = time;
        world.report(record);
    }

    /// Largest number of arrivals at the returning searcher within one second of the `time` after its return.
    [[nodiscard]] std::size_t most_in_a_second(duration time) const {
        std::size_t most = 0;
        const auto& log = returning.arrival_log;
        for (auto first = log.begin(); first != log.end(); ++first) {
            if (first->when < returned_at || first->when >= returned_at + time) {
                continue;
            }
            const auto last = std::find_if(first, log.end(), [&](const auto& it) {
                return it.when >= std::min(first->when + seconds(1), returned_at + time);
            });
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    time_point returned_at{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_searcher_whose_zone_returns_from_an_evacuation)

// Guards against full traffic to a searcher that has become cold and whose report is still on its way.
BOOST_AUTO_TEST_CASE(gets_what_a_cold_one_bears_until_its_report_arrives) {
    two_zones it;
    it.evacuate_for(seconds(5));
    it.world.run_for(milliseconds(900));
    it.report_cold_for(milliseconds(1800));
    it.world.run_for(milliseconds(1800));
    BOOST_TEST(it.most_in_a_second(milliseconds(2700)) <= cold_bound);
}

BOOST_AUTO_TEST_CASE(is_not_taken_for_warm_by_a_report_from_before_its_return) {
    two_zones it;
    it.report_cold_for(milliseconds(300));
    it.evacuate_for(seconds(5));
    it.report_cold_for({});
    it.world.run_for(milliseconds(2700));
    BOOST_TEST(it.most_in_a_second(milliseconds(2700)) <= cold_bound);
}

BOOST_AUTO_TEST_CASE(gets_its_share_again_once_a_cold_one_would_be_warm) {
    two_zones it;
    it.evacuate_for(seconds(5));
    it.world.run_for(seconds(3));
    const auto before = it.returning.arrivals;
    it.world.run_for(seconds(4));
    BOOST_TEST(it.returning.arrivals > before + 100U);
}

// Guards against the first requests of many hosts, which together are more than a cold searcher bears.
BOOST_AUTO_TEST_CASE(gets_what_a_cold_one_bears_on_each_of_several_returns) {
    two_zones it(std::vector<std::string>(15, "a"));
    for (int n = 0; n < 3; ++n) {
        it.evacuate_for(seconds(5));
        it.world.run_for(seconds(3));
        BOOST_TEST(it.most_in_a_second(seconds(3)) <= cold_bound);
        it.world.run_for(seconds(2));
    }
}

BOOST_AUTO_TEST_SUITE_END()
