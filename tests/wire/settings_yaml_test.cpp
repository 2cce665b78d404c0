// Parsing of a node's settings file: defaults apply, and all faults are reported at once with their lines.
#include <skylarkseam/wire/settings_yaml.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

const std::string minimal_settings = R"(node: {name: entry-1, availability_zone: kochi, region: kerala}
listen: {callers: 127.0.0.1:0, admin: 127.0.0.1:0, peers: 127.0.0.1:0}
platform: {url: "http://127.0.0.1:7000"}
)";

} // namespace

BOOST_AUTO_TEST_SUITE(settings_files)

BOOST_AUTO_TEST_CASE(a_minimal_file_gives_the_defaults) {
    const auto checked = parse_settings({"node.yaml", minimal_settings});
    BOOST_TEST(checked.faults.empty(), to_string(checked.faults));
    BOOST_TEST(checked.value.name == "entry-1");
    BOOST_TEST(checked.value.limits.connections == node_limits{}.connections);
    BOOST_TEST((checked.value.timing.drain == node_timing{}.drain));
}

BOOST_AUTO_TEST_CASE(every_section_is_read) {
    const auto checked = parse_settings(
        {"node.yaml", minimal_settings + "seeds: [127.0.0.1:1, '[::1]:2']\nlog: {level: debug}\n"
                                         "limits: {body_bytes: 2048}\ntiming: {drain_ms: 6000}\n"});
    BOOST_TEST(checked.faults.empty(), to_string(checked.faults));
    BOOST_TEST(checked.value.seeds.size() == 2U);
    BOOST_TEST((checked.value.level == log_level::debug));
    BOOST_TEST(checked.value.limits.body_bytes == 2048U);
    BOOST_TEST((checked.value.timing.drain == seconds(6)));
}

BOOST_AUTO_TEST_CASE(a_gateways_section_names_the_times_within_which_changes_are_in_force) {
    const std::string section = "gateway: {readiness: 127.0.0.1:0, zones: [{name: kochi, region: kerala}]";
    const auto defaults = parse_settings({"node.yaml", minimal_settings + section + "}\n"});
    BOOST_TEST(defaults.faults.empty(), to_string(defaults.faults));
    BOOST_TEST((defaults.value.gateway->configuration_in_force == seconds(4)));
    const auto set =
        parse_settings({"node.yaml", minimal_settings + section +
                                         ", configuration_in_force_ms: 8000, evacuation_in_force_ms: 6000, "
                                         "drain_in_force_ms: 7000}\n"});
    BOOST_TEST(set.faults.empty(), to_string(set.faults));
    BOOST_TEST((set.value.gateway->configuration_in_force == seconds(8)));
    BOOST_TEST((set.value.gateway->evacuation_in_force == seconds(6)));
    BOOST_TEST((set.value.gateway->drain_in_force == seconds(7)));
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_at_once) {
    const auto checked = parse_settings({"node.yaml", R"(node: {name: entry 1, region: kerala}
listen: {callers: 127.0.0.1:0, admin: 127.0.0.1, peers: 127.0.0.1:99999}
platform: {url: 127.0.0.1:7000}
seeds: [127.0.0.1:0]
log: {level: loud}
limits: {body_bytes: 1, frames: 2}
timing: {lease_ms: 2000, drain_ms: 0}
colour: red
)"});
    const std::string expected =
        "node.yaml:1: node.name: must be 1 to 128 letters, digits, '.', '_' or '-', and begin with a letter "
        "or a "
        "digit\n"
        "node.yaml:1: node.availability_zone: is missing\n"
        "node.yaml:2: listen.admin: must be ip:port in numbers, not '127.0.0.1'\n"
        "node.yaml:2: listen.peers: must be ip:port in numbers, not '127.0.0.1:99999'\n"
        "node.yaml:3: platform.url: must begin with http:// or https://\n"
        "node.yaml:4: seeds[0]: must be ip:port in numbers\n"
        "node.yaml:5: log.level: must be one of trace, debug, info, warning, error, not 'loud'\n"
        "node.yaml:6: limits.body_bytes: must be a whole number from 1024 to 1073741824, not '1'\n"
        "node.yaml:6: limits.frames: unknown key\n"
        "node.yaml:7: timing.drain_ms: must be a whole number from 1 to 3600000, not '0'\n"
        "node.yaml:7: timing.lease_ms: unknown key\n"
        "node.yaml:8: colour: unknown key";
    BOOST_TEST(to_string(checked.faults) == expected);
}

BOOST_AUTO_TEST_CASE(a_file_without_settings_is_rejected) {
    for (const auto* it : {"", "[]", "7", "a: 1\n---\nb: 2\n", "\xc3("}) {
        BOOST_TEST(!parse_settings({"node.yaml", it}).faults.empty(), it);
    }
}

BOOST_AUTO_TEST_SUITE_END()
