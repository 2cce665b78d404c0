// The end of a planned stop: what a gateway does with the requests that still come and with those that are
// open.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

struct stopping_world {
    gateway_world world;

    stopping_world() {
        world.handshake_time = milliseconds(300);
        world.work = milliseconds(400);
        world.add_service("desk", 4, {"b"});
        world.add_route(single_route("desk", repeatability::at_most_once));
        world.publish();
    }

    [[nodiscard]] const client_result& result_of(request_token token) const {
        return *std::find_if(world.results.begin(), world.results.end(),
                             [token](const auto& it) { return it.token == token; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_gateway_that_is_about_to_end, stopping_world)

// Guards against requests that must not run twice, are taken late in a planned stop and are cut off at its
// end.
BOOST_AUTO_TEST_CASE(refuses_what_comes_and_answers_what_is_open) {
    const auto open = world.send_request("/audit/open");
    world.run_for(milliseconds(100));
    world.hosts[0]->refuse_new_requests();
    const auto late = world.send_request("/audit/late");
    BOOST_TEST(result_of(late).status == 503);
    BOOST_TEST((result_of(late).retry_after > duration::zero()));
    world.run_for(seconds(3));
    BOOST_TEST(result_of(open).status == 200);
    BOOST_TEST(world.runs_of("desk").size() == 1U);
}

BOOST_AUTO_TEST_CASE(answers_at_its_end_as_not_run_only_what_does_not_run) {
    const auto sent = world.send_request("/audit/sent");
    world.run_for(milliseconds(400));
    const auto connecting = world.send_request("/audit/connecting");
    world.run_for(milliseconds(100));
    world.end_open_requests();
    BOOST_TEST(result_of(sent).status == 504);
    BOOST_TEST(result_of(connecting).status == 503);
    world.run_for(seconds(3));
    BOOST_TEST(world.runs_of("desk").count(result_of(sent).id) == 1U);
    BOOST_TEST(world.runs_of("desk").count(result_of(connecting).id) == 0U);
    BOOST_TEST(world.hosts[0]->open_requests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
