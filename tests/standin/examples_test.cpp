// The example deployments: accepted as they stand, and of the sizes that their users state.
#include "standin/searcher_set.hpp"

#include <skylarkseam/wire/configuration_yaml.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

std::string example_text(const std::string& name) {
    return standin::read_configuration(std::string(SKYLARKSEAM_SOURCE_DIR) + "/examples/" + name);
}

configuration example(const std::string& name) {
    const auto checked = parse_configuration({source_file{name, example_text(name)}});
    BOOST_TEST(checked.faults.empty());
    return checked.value;
}

struct stated_size {
    std::string group_prefix;
    std::size_t groups;
    std::size_t searchers; ///< in each
    std::uint32_t slots;
    std::uint32_t connections;
};

void check_size(const configuration& config, const stated_size& stated) {
    std::size_t groups = 0;
    for (const auto& [name, group] : config.groups) {
        if (!name.starts_with(stated.group_prefix)) {
            continue;
        }
        ++groups;
        BOOST_TEST(group.searchers.size() == stated.searchers);
        BOOST_TEST(group.slots == stated.slots);
        BOOST_TEST(group.connections == stated.connections);
    }
    BOOST_TEST(groups == stated.groups);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_examples)

BOOST_AUTO_TEST_CASE(hold_consorzio_at_its_size) {
    const auto config = example("consorzio");
    check_size(config, {"helpdesk-", 10, 3, 4, 35});
    check_size(config, {"billing-", 15, 3, 4, 35});
    check_size(config, {"compliance", 1, 20, 4, 110});
    check_size(config, {"warehouse", 1, 10, 4, 110});
    BOOST_TEST(!config.services.at("billing-01").idempotent);
}

BOOST_AUTO_TEST_CASE(hold_malabar_at_its_size) {
    const auto config = example("malabar");
    check_size(config, {"alert-desk-", 10, 3, 2, 25});
    check_size(config, {"crew-radio-", 15, 3, 2, 25});
    check_size(config, {"observer-log", 1, 10, 3, 40});
    check_size(config, {"bulletin", 1, 4, 3, 40});
}

BOOST_AUTO_TEST_CASE(hold_a_demo_of_a_dozen_searchers_that_the_stand_ins_can_start) {
    const auto config = example("demo");
    BOOST_TEST(config.groups.at("catalogue").searchers.size() == 12U);
    BOOST_TEST(config.zones.size() == 3U);
    BOOST_TEST(standin::searchers_in(example_text("demo"), {}).size() == 12U);
}

BOOST_AUTO_TEST_CASE(stay_valid_with_the_addresses_in_use) {
    standin::http_loop loop;
    const auto text = example_text("demo");
    const standin::searcher_set set(loop, standin::searchers_in(text, {}));
    const auto checked = parse_configuration({source_file{"demo", set.with_addresses(text)}});
    BOOST_TEST(checked.faults.empty());
    const auto& first = checked.value.groups.at("catalogue").searchers.front();
    BOOST_TEST(first.address == set.searchers().front()->address());
}

BOOST_AUTO_TEST_SUITE_END()
