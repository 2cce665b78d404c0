// Tests that a diff lists added, removed and changed objects, and each changed field with its old and new
// value.
#include <skylarkseam/control/configuration_diff.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

BOOST_AUTO_TEST_SUITE(configuration_differences)

BOOST_AUTO_TEST_CASE(a_diff_lists_the_changed_objects_and_fields) {
    configuration before;
    before.zones["kochi"].state = service_state::in;
    before.zones["munnar"];
    before.groups["radio"].searchers.push_back(
        {"radio-1", "127.0.0.1:1", "kochi", {0, 1}, service_state::in});
    auto after = before;
    after.zones["kochi"].state = service_state::out;
    after.zones.erase("munnar");
    after.services["sightings"].name = "sightings";
    after.groups["radio"].searchers[0].shards = {0};
    after.groups["radio"].searchers.push_back({"radio-2", "127.0.0.1:2", "kochi", {1}, service_state::in});
    for (auto* it : {&before, &after}) {
        it->groups["radio"].name = "radio";
    }
    std::string text;
    for (const auto& it : diff(before, after)) {
        text += to_string(it) + '\n';
    }
    BOOST_TEST(text == "~ availability_zone kochi: state: in -> out\n"
                       "- availability_zone munnar\n"
                       "+ service sightings\n"
                       "~ upstream_group radio: searchers.radio-1.shards: 0,1 -> 0\n"
                       "~ upstream_group radio: searchers.radio-2.address: (none) -> 127.0.0.1:2\n"
                       "~ upstream_group radio: searchers.radio-2.availability_zone: (none) -> kochi\n"
                       "~ upstream_group radio: searchers.radio-2.shards: (none) -> 1\n"
                       "~ upstream_group radio: searchers.radio-2.state: (none) -> in\n");
    BOOST_TEST(diff(before, before).empty());
}

BOOST_AUTO_TEST_SUITE_END()
