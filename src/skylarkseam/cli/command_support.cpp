#include <skylarkseam/cli/command_support.hpp>
#include <skylarkseam/cli/files.hpp>
#include <skylarkseam/control/configuration_diff.hpp>
#include <skylarkseam/core/content_hash.hpp>
#include <skylarkseam/wire/configuration_json.hpp>
#include <skylarkseam/wire/configuration_yaml.hpp>
#include <skylarkseam/wire/document_reader.hpp>
#include <skylarkseam/wire/settings_yaml.hpp>

#include <iostream>
#include <sstream>

namespace skylarkseam {
namespace {

result<void> add_peers(const std::string& list, std::vector<std::string>& out) {
    std::istringstream in(list);
    for (std::string it; std::getline(in, it, ',');) {
        if (!is_address(it, 1)) {
            return make_error(error_kind::bad_request,
                              "--peers: '" + it + "' is not an address of the form ip:port");
        }
        out.push_back(it);
    }
    return success();
}

result<void> add_settings(const std::string& path, operator_targets& out) {
    BOOST_OUTCOME_TRY(source, read_source(path));
    const auto checked = parse_settings(source);
    if (!checked.faults.empty()) {
        return make_error(error_kind::invalid_settings, to_string(checked.faults));
    }
    out.platform_url = checked.value.platform_url;
    out.peers = checked.value.seeds;
    if (is_address(checked.value.listen.peers, 1)) {
        out.peers.push_back(checked.value.listen.peers);
    }
    return success();
}

} // namespace

void add_target_arguments(command_line& line) {
    line.add_option(
        "settings",
        "a node's settings file, from which the platform's URL and the nodes' addresses are read");
    line.add_option("platform", "URL of the platform");
    line.add_option("peers",
                    "addresses of nodes, as a comma-separated list of ip:port with each node's peers port");
}

result<operator_targets> read_targets(const command_line& line) {
    operator_targets targets;
    if (line.is_set("settings")) {
        BOOST_OUTCOME_TRY(add_settings(line.value("settings"), targets));
    }
    if (line.is_set("platform")) {
        targets.platform_url = line.value("platform");
    }
    if (line.is_set("peers")) {
        BOOST_OUTCOME_TRY(add_peers(line.value("peers"), targets.peers));
    }
    if (targets.platform_url.empty()) {
        return make_error(error_kind::bad_request,
                          "the platform's URL is missing: give --settings or --platform");
    }
    return targets;
}

std::optional<configuration> read_configuration(const std::string& path) {
    const auto sources = read_sources(path);
    if (!sources) {
        std::cerr << sources.error().detail << '\n';
        return std::nullopt;
    }
    auto checked = parse_configuration(sources.value());
    if (!checked.faults.empty()) {
        print_faults(checked.faults);
        return std::nullopt;
    }
    return std::move(checked.value);
}

result<stored_configuration> read_in_force(operator_session& session) {
    const auto response = session.call_platform(read_head_request());
    if (response.status == platform_status::not_found) {
        return make_error(error_kind::not_found, "no configuration has been applied yet");
    }
    if (response.status != platform_status::ok || response.objects.empty()) {
        return make_error(error_kind::platform_unavailable,
                          "the platform cannot be read: " + response.detail);
    }
    BOOST_OUTCOME_TRY(head, json_configuration_codec().decode_head(response.objects.front().value_json));
    return read_body(session, head);
}

result<stored_configuration> read_body(operator_session& session, const configuration_head& head) {
    body_collector collector(head);
    for (const auto& it : collector.take_requests()) {
        BOOST_OUTCOME_TRY(collector.add(session.call_platform(it), json_configuration_codec()));
    }
    const auto body = collector.body();
    if (!body || content_hash(*body) != head.hash) {
        return make_error(error_kind::invalid_configuration,
                          "the configuration stored in the platform does not match its content hash");
    }
    BOOST_OUTCOME_TRY(value, decode_configuration_text(*body, head.generation));
    return stored_configuration{head, std::move(value)};
}

void print_difference(const configuration& before, const configuration& after) {
    const auto changes = diff(before, after);
    for (const auto& it : changes) {
        std::cout << to_string(it) << '\n';
    }
    if (changes.empty()) {
        std::cout << "no difference\n";
    }
}

} // namespace skylarkseam
