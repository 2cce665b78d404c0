// Parsing of operators' configuration files: valid files are accepted, and all faults are reported at once,
// each with its file, line and field.
#include "sample_configuration.hpp"

#include <skylarkseam/wire/configuration_yaml.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylarkseam;

namespace {

checked_configuration parse(const std::string& text) {
    return parse_configuration({{"a.yaml", text}});
}

/// Returns the sample with one part of its text replaced.
std::string changed(const std::string& from, const std::string& to) {
    auto text = sample_yaml;
    const auto at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// Returns the only fault of the sample with one part of its text replaced.
std::string fault_of(const std::string& from, const std::string& to) {
    const auto faults = parse(changed(from, to)).faults;
    BOOST_TEST(faults.size() == 1U, to_string(faults));
    return faults.empty() ? "" : to_string(faults.front());
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_files)

BOOST_AUTO_TEST_CASE(a_complete_configuration_is_read) {
    const auto checked = parse(sample_yaml);
    BOOST_TEST(checked.faults.empty(), to_string(checked.faults));
    const auto& group = checked.value.groups.at("radio");
    BOOST_TEST(group.searchers.size() == 2U);
    BOOST_TEST(group.searchers[0].shards == (std::vector<shard_id>{0, 1}), boost::test_tools::per_element());
    BOOST_TEST((group.cold.interval == milliseconds(500)));
    BOOST_TEST((checked.value.zones.at("munnar").state == service_state::out));
    BOOST_TEST((checked.value.services.at("sightings").cls == request_class::urgent));
    BOOST_TEST(!checked.value.services.at("billing").idempotent);
    BOOST_TEST(checked.value.rules.at("radio-shares").callers[1].max_in_flight == 8U);
}

BOOST_AUTO_TEST_CASE(each_kind_of_fault_states_file_line_and_field) {
    const struct {
        std::string from;
        std::string to;
        std::string text;
    } cases[] = {
        {"slots: 2\n", "slots: 0\n",
         "a.yaml:10: upstream_group radio: slots: must be a whole number from 1 to 100000, not '0'"},
        {"state: out\n", "state: gone\n",
         "a.yaml:6: availability_zone munnar: state: must be one of in, out, not 'gone'"},
        {"connections: 25", "connections: 1",
         "a.yaml:11: upstream_group radio: connections: must be at least the group's slots (2)"},
        {"{slots: 1, step", "{slots: 3, step",
         "a.yaml:12: upstream_group radio: cold_start.slots: must be at most the group's slots (2)"},
        {"7101,", "7101, colour: red,", "a.yaml:14: upstream_group radio: searchers[0].colour: unknown key"},
        {"127.0.0.1:7101", "localhost:7101",
         "a.yaml:14: upstream_group radio: searchers[0].address: must be ip:port in numbers, not "
         "'localhost:7101'"},
        {"availability_zone: kochi", "availability_zone: cochin",
         "a.yaml:14: upstream_group radio: searchers[0].availability_zone: there is no availability_zone "
         "'cochin'"},
        {"name: radio-2", "name: radio-1",
         "a.yaml:15: upstream_group radio: searchers[1].name: 'radio-1' is used already, at a.yaml:14"},
        {"shards: [1, 0]", "shards: [1, 1]",
         "a.yaml:14: upstream_group radio: searchers[0].shards[1]: shard 1 is listed twice"},
        {"shards: [1, 0]", "shards: []",
         "a.yaml:14: upstream_group radio: searchers[0].shards: must not be empty"},
        {"  deadline_ms: 210\n", "", "a.yaml:17: service sightings: deadline_ms: is missing"},
        {"name: billing", "name: sightings",
         "a.yaml:25: service sightings: name: 'sightings' is used already, at a.yaml:18"},
        {"idempotent: false", "idempotent: 'false'",
         "a.yaml:28: service billing: idempotent: must be true or false, not 'false'"},
        {"minimum_coverage: 0.5", "minimum_coverage: nan",
         "a.yaml:21: service sightings: minimum_coverage: must be a number from 0 to 1, not 'nan'"},
        {"floor: 0.5}", "floor: 0.6}",
         "a.yaml:34: sharing_rule radio-shares: callers: the floors sum to more than 1"},
        {"name: watchers", "name: crews",
         "a.yaml:35: sharing_rule radio-shares: callers[1].name: 'crews' is used already, at a.yaml:34"},
        {"kind: sharing_rule", "kind: sharing",
         "a.yaml:30: sharing radio-shares: kind: must be one of availability_zone, upstream_group, service, "
         "sharing_rule, not 'sharing'"},
        {"slots: 2\n", "slots: [2]\n",
         "a.yaml:10: upstream_group radio: slots: must be a single value, not a list"},
        {"slots: 2\n", "slots: 2\nslots: 2\n", "a.yaml:11: slots: duplicate key"},
    };
    for (const auto& it : cases) {
        BOOST_TEST(fault_of(it.from, it.to) == it.text);
    }
}

BOOST_AUTO_TEST_CASE(all_faults_of_all_files_are_reported_at_once) {
    const auto rule = "{kind: sharing_rule, name: second, upstream_group: radio, callers: [{name: a b}]}";
    const auto checked = parse_configuration({{"a.yaml", changed("slots: 2\n", "slots: x\n")},
                                              {"b.yaml", rule},
                                              {"c.yaml", "kind: [\n"},
                                              {"d.yaml", "\xff"}});
    BOOST_REQUIRE(checked.faults.size() == 5U);
    BOOST_TEST(checked.faults[0].file == "a.yaml");
    BOOST_TEST(checked.faults[1].field == "sharing_rule second: callers[0].name");
    BOOST_TEST(checked.faults[2].text.starts_with("'radio' has a sharing rule already"));
    BOOST_TEST(checked.faults[3].text.starts_with("bad YAML"));
    BOOST_TEST(checked.faults[4].text == "is not valid UTF-8");
}

BOOST_AUTO_TEST_CASE(a_configuration_without_objects_is_rejected) {
    BOOST_TEST(parse("").faults.size() == 1U);
    BOOST_TEST(parse_configuration({}).faults.size() == 1U);
    BOOST_TEST(parse("--- # nothing\n---\n").faults.size() == 1U);
}

BOOST_AUTO_TEST_CASE(text_after_a_document_is_rejected) {
    for (const auto* it : {"]", "a: 1\n]", "}", "[a] , b", "- a\n}\n"}) {
        BOOST_TEST(!parse(it).faults.empty(), it);
    }
}

BOOST_AUTO_TEST_CASE(aliases_and_deep_nesting_are_rejected) {
    BOOST_TEST(!parse("a: &x [1]\nb: *x\n").faults.empty());
    BOOST_TEST(!parse(std::string(100'000, '[')).faults.empty());
    BOOST_TEST(!parse(std::string(100'000, '{')).faults.empty());
}

BOOST_AUTO_TEST_SUITE_END()
