// A request that is answered as not run never runs, also if it waits for a connection to a faulty searcher
// when its time is up.
#include "gateway_world.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

/// One searcher in another region that has lost two requests, so that the next one probes it on a new
/// connection.
struct faulty_searcher_world {
    gateway_world world;

    explicit faulty_searcher_world(repeatability repeat) {
        world.handshake_time = milliseconds(7);
        world.connection_idle_time = milliseconds(1);
        world.add_service("desk", 4, {"b"});
        world.add_route(single_route("desk", repeat));
        world.publish();
        world.at("desk").behaviour.lost_share = 1.0;
        for (int n = 0; n < 2; ++n) {
            world.send_request("/audit/lost");
            world.run_for(seconds(2));
        }
        world.at("desk").behaviour.lost_share = 0.0;
        world.results.clear();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_is_answered_as_not_run)

// Guards against a request that runs after its refusal, because its attempt is kept as a probe.
BOOST_DATA_TEST_CASE(does_not_run_after_its_deadline, boost::unit_test::data::make({false, true}),
                     idempotent) {
    faulty_searcher_world it(idempotent ? repeatability::idempotent : repeatability::at_most_once);
    // A connection takes 47 ms to open.
    const auto token = it.world.send_request("/audit/charge", 0, milliseconds(50));
    it.world.run_for(seconds(3));
    BOOST_TEST_REQUIRE(it.world.results.size() == 1U);
    BOOST_TEST(it.world.results.front().token == token);
    BOOST_TEST(it.world.results.front().status == 503);
    BOOST_TEST(it.world.runs_of("desk").count(it.world.results.front().id) == 0U);
}

BOOST_AUTO_TEST_CASE(leaves_its_searcher_to_the_probe_of_a_later_request) {
    faulty_searcher_world it(repeatability::at_most_once);
    it.world.send_request("/audit/charge", 0, milliseconds(50));
    it.world.run_for(seconds(3));
    it.world.results.clear();
    it.world.send_request("/audit/later");
    it.world.run_for(seconds(3));
    BOOST_TEST_REQUIRE(it.world.results.size() == 1U);
    BOOST_TEST(it.world.results.front().status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
