#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/wire/document_reader.hpp>
#include <skylarkseam/wire/settings_yaml.hpp>

namespace skylarkseam {
namespace {

constexpr std::int64_t any_free_port = 0;
constexpr integer_range time_range_ms{1, 3'600'000};
constexpr integer_range byte_range{1024, std::int64_t{1} << 30U};
constexpr integer_range count_range{1, 1'000'000};
constexpr double max_extra_ratio = 1.0;
constexpr double max_extra_slack = 100'000.0;

constexpr name_table log_level_names{std::array{
    named_value<log_level>{log_level::trace, "trace"},
    named_value<log_level>{log_level::debug, "debug"},
    named_value<log_level>{log_level::info, "info"},
    named_value<log_level>{log_level::warning, "warning"},
    named_value<log_level>{log_level::error, "error"},
}};

void read_node(map_reader& node, node_settings& out) {
    node.name("name", out.name);
    node.name("availability_zone", out.zone);
    node.name("region", out.region);
}

void read_listen(map_reader& listen, listen_addresses& out) {
    listen.address("callers", out.callers, presence::required, any_free_port);
    listen.address("admin", out.admin, presence::required, any_free_port);
    listen.address("peers", out.peers, presence::required, any_free_port);
}

void read_platform(map_reader& platform, std::string& url) {
    platform.text("url", url);
    if (!url.empty() && !url.starts_with("http://") && !url.starts_with("https://")) {
        platform.location().member("url").add_fault(platform.node_for("url"),
                                                    "must begin with http:// or https://");
    }
}

void read_limits(map_reader& limits, node_limits& out) {
    limits.size("body_bytes", out.body_bytes, byte_range);
    limits.size("header_bytes", out.header_bytes, byte_range);
    limits.integer("connections", out.connections, count_range);
    limits.integer("open_requests", out.open_requests, count_range);
    limits.size("held_bytes", out.held_bytes, byte_range);
    limits.size("peer_frame_bytes", out.peer_frame_bytes, byte_range);
    limits.size("peer_request_bytes", out.peer_request_bytes, byte_range);
    limits.integer("peer_streams", out.peer_streams, count_range);
    limits.integer("peer_connections", out.peer_connections, count_range);
    limits.size("upstream_body_bytes", out.upstream_body_bytes, byte_range);
    limits.integer("queue_length", out.queue_length, count_range);
}

void read_timing(map_reader& timing, node_timing& out) {
    timing.time_ms("platform_timeout_ms", out.platform_timeout, time_range_ms);
    timing.time_ms("platform_watch_ms", out.platform_watch, time_range_ms);
    timing.time_ms("peer_timeout_ms", out.peer_timeout, time_range_ms);
    timing.time_ms("cut_off_ms", out.cut_off, time_range_ms);
    timing.time_ms("drain_ms", out.drain, time_range_ms);
    timing.time_ms("health_poll_ms", out.health_poll, time_range_ms);
}

void read_seeds(map_reader& settings, std::vector<std::string>& out) {
    settings.items("seeds", presence::optional,
                   [&](const document_node& node, const document_location& location) {
                       if (node.kind != document_node::node_kind::scalar || !is_address(node.scalar, 1)) {
                           location.add_fault(node, "must be ip:port in numbers");
                           return;
                       }
                       out.push_back(node.scalar);
                   });
}

void read_zones(map_reader& gateway, std::map<std::string, std::string>& out) {
    gateway.items("zones", presence::required,
                  [&](const document_node& node, const document_location& location) {
                      map_reader zone(node, location);
                      std::string name;
                      std::string region;
                      zone.name("name", name);
                      zone.name("region", region);
                      zone.finish();
                      if (!name.empty() && !out.emplace(name, region).second) {
                          location.add_fault(node, "zone \"" + name + "\" is listed twice");
                      }
                  });
}

void read_gateway(map_reader& gateway, gateway_settings& out) {
    gateway.address("readiness", out.readiness, presence::required, any_free_port);
    read_zones(gateway, out.region_of_zone);
    gateway.number("extra_ratio", out.extra_ratio, 0.0, max_extra_ratio);
    gateway.number("extra_slack", out.extra_slack, 0.0, max_extra_slack);
    gateway.time_ms("extra_window_ms", out.extra_window, time_range_ms);
    gateway.time_ms("stop_grace_ms", out.stop_grace, time_range_ms);
    gateway.time_ms("configuration_in_force_ms", out.configuration_in_force, time_range_ms);
    gateway.time_ms("evacuation_in_force_ms", out.evacuation_in_force, time_range_ms);
    gateway.time_ms("drain_in_force_ms", out.drain_in_force, time_range_ms);
    gateway.boolean("first_start", out.first_start);
    gateway.integer("least_hosts", out.least_hosts, count_range);
}

void read_settings(map_reader& settings, node_settings& out) {
    settings.section("node", presence::required, [&](map_reader& it) { read_node(it, out); });
    settings.section("listen", presence::required, [&](map_reader& it) { read_listen(it, out.listen); });
    settings.section("platform", presence::required,
                     [&](map_reader& it) { read_platform(it, out.platform_url); });
    read_seeds(settings, out.seeds);
    settings.section("log", presence::optional, [&](map_reader& log) {
        log.choice("level", "trace, debug, info, warning, error", [&](std::string_view text) {
            const auto found = log_level_names.find(text);
            out.level = found.value_or(out.level);
            return found.has_value();
        });
    });
    settings.section("limits", presence::optional, [&](map_reader& it) { read_limits(it, out.limits); });
    settings.section("timing", presence::optional, [&](map_reader& it) { read_timing(it, out.timing); });
    settings.section("gateway", presence::optional,
                     [&](map_reader& it) { read_gateway(it, out.gateway.emplace()); });
    settings.finish();
}

} // namespace

checked_settings parse_settings(const source_file& source) {
    checked_settings checked;
    fault_list faults;
    const auto documents = parse_yaml(source, faults);
    if (documents.size() == 1) {
        map_reader settings(documents.front().root, {source.name, "", &faults});
        read_settings(settings, checked.value);
    } else if (faults.empty()) {
        faults.add(source.name, 0, "", "must hold exactly one document");
    }
    checked.faults = faults.sorted();
    return checked;
}

} // namespace skylarkseam
