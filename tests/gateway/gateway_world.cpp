#include "gateway_world.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace skylarkseam::testing {
namespace {

const std::vector<std::string> zone_names{"a", "b", "c"};

std::vector<std::string> rotate_zones(std::uint32_t hosts) {
    std::vector<std::string> out;
    for (std::uint32_t n = 0; n < hosts; ++n) {
        out.push_back(zone_names[n % zone_names.size()]);
    }
    return out;
}

std::map<std::string, std::string> regions() {
    return {{"a", "north"}, {"b", "east"}, {"c", "south"}};
}

} // namespace

std::string region_of(const std::string& zone) {
    return regions().at(zone);
}

gateway_route shard_route(const std::vector<std::string>& services, double min_share) {
    gateway_route route;
    route.name = "search";
    route.host = "search.example";
    route.prefix = "/search/";
    route.repeat = repeatability::idempotent;
    route.timeout = milliseconds(2500);
    route.objective = milliseconds(250);
    route.max_attempts = 2;
    route.plan = shard_set{services, 50, min_share};
    return route;
}

gateway_route single_route(const std::string& service, repeatability repeat) {
    gateway_route route;
    route.name = "audit";
    route.host = "search.example";
    route.prefix = "/audit/";
    route.repeat = repeat;
    route.timeout = milliseconds(8000);
    route.objective = milliseconds(800);
    route.max_attempts = 2;
    route.plan = single_service{service};
    return route;
}

gateway_world::gateway_world(std::uint32_t host_count, std::uint64_t seed)
    : gateway_world(rotate_zones(host_count), seed) {}

gateway_world::gateway_world(const std::vector<std::string>& host_zones, std::uint64_t seed)
    : random_(seed)
    , host_zones_(host_zones) {
    const std::set<std::string> used(host_zones.begin(), host_zones.end());
    for (const auto& zone : host_zones) {
        gateway_options options;
        options.view = {zone, regions().at(zone), regions()};
        options.extra = {0.2, 56.0, seconds(10)};
        options.seed = seed * 100 + hosts.size();
        hosts.push_back(std::make_unique<gateway>(options));
        const auto here = std::count(host_zones.begin(), host_zones.end(), zone);
        hosts.back()->set_hosts({static_cast<std::uint32_t>(host_zones.size()),
                                 static_cast<std::uint32_t>(here), static_cast<std::uint32_t>(used.size())});
    }
}

void gateway_world::add_service(const std::string& name, std::uint32_t slots,
                                const std::vector<std::string>& zones, std::uint32_t connections) {
    table_->services[name] = {name, connections, 0.0, "/health"};
    for (const auto& zone : zones) {
        auto it = std::make_unique<model_searcher>();
        const auto n = by_address_.size();
        it->record = {name + "-" + std::to_string(n),
                      name,
                      "10.0.0." + std::to_string(n) + ":80",
                      zone,
                      slots,
                      false,
                      {},
                      1};
        by_address_[it->record.address] = it.get();
        searchers[name].push_back(std::move(it));
    }
}

void gateway_world::add_route(gateway_route route) {
    table_->routes.push_back(std::move(route));
}

void gateway_world::publish() {
    introduce_hosts();
    table_->version += 1;
    const auto table = std::make_shared<routing_table>(*table_);
    for (std::uint32_t n = 0; n < hosts.size(); ++n) {
        std::vector<gateway_output> out;
        hosts[n]->set_table(table, now, out);
        for (const auto& [name, list] : searchers) {
            for (const auto& it : list) {
                hosts[n]->searchers().put(it->record, now);
            }
        }
        hosts[n]->set_listing_complete(now, out);
        hosts[n]->on_searchers_changed(now, out);
        perform(n, out);
    }
}

model_searcher& gateway_world::at(const std::string& service, std::size_t n) {
    return *searchers.at(service).at(n);
}

void gateway_world::after(duration delay, std::function<void()> task) {
    events_.push({now + delay, ++order_, std::move(task)});
}

void gateway_world::run_for(duration time) {
    const auto end = now + time;
    while (!events_.empty() && events_.top().when <= end) {
        auto task = events_.top().task;
        now = events_.top().when;
        events_.pop();
        task();
    }
    now = end;
}

request_token gateway_world::send_request(const std::string& path, std::uint32_t host,
                                          std::optional<duration> patience) {
    const auto token = ++last_token_;
    gateway_request request;
    request.token = token;
    request.id = "r" + std::to_string(token);
    request.host = "search.example";
    request.path = path;
    request.time_left = patience;
    request.round_trip = client_round_trip;
    request.fingerprint = path;
    requests_[token] = {request.id, path, now};
    handle(host, gateway_event::request_arrived{request});
    return token;
}

void gateway_world::disconnect(request_token token, std::uint32_t host) {
    handle(host, gateway_event::client_disconnected{token});
}

void gateway_world::end_open_requests(std::uint32_t host) {
    std::vector<gateway_output> out;
    hosts[host]->end_open_requests(now, out);
    perform(host, out);
}

void gateway_world::load(const std::string& path, double per_second, duration time) {
    std::vector<std::uint32_t> host_indices(hosts.size());
    std::iota(host_indices.begin(), host_indices.end(), 0U);
    load_hosts(host_indices, path, per_second, time);
}

void gateway_world::load_zone(const std::string& zone, const std::string& path, double per_second,
                              duration time) {
    std::vector<std::uint32_t> host_indices;
    for (std::uint32_t n = 0; n < hosts.size(); ++n) {
        if (host_zones_[n] == zone) {
            host_indices.push_back(n);
        }
    }
    load_hosts(host_indices, path, per_second, time);
}

void gateway_world::load_hosts(const std::vector<std::uint32_t>& host_indices, const std::string& path,
                               double per_second, duration time) {
    duration at{};
    std::size_t next = 0;
    while (at < time) {
        at += duration(static_cast<std::int64_t>(-std::log(1.0 - uniform()) * 1e6 / per_second));
        const auto host = host_indices[next++ % host_indices.size()];
        const auto unique_path = path + "/" + std::to_string(++last_load_request_);
        after(at, [this, unique_path, host] { send_request(unique_path, host); });
    }
}

std::map<std::string, int> gateway_world::runs_of(const std::string& service) const {
    const auto it = runs_.find(service);
    return it == runs_.end() ? std::map<std::string, int>{} : it->second;
}

void gateway_world::handle(std::uint32_t host, gateway_input input) {
    std::vector<gateway_output> out;
    hosts[host]->handle(std::move(input), now, out);
    perform(host, out);
}

void gateway_world::wake(std::uint32_t host) {
    if (const auto next = hosts[host]->next_wakeup()) {
        const auto delay = std::max(microseconds(100), *next - now);
        after(delay, [this, host] {
            const auto due = hosts[host]->next_wakeup();
            if (due && *due <= now) {
                handle(host, gateway_event::time_passed{});
            }
        });
    }
}

void gateway_world::perform(std::uint32_t host, const std::vector<gateway_output>& actions) {
    struct visitor {
        gateway_world& self;
        std::uint32_t host;
        void operator()(const gateway_action::send& it) const { self.send(host, it); }
        void operator()(const gateway_action::check_searcher& it) const { self.check(host, it); }
        void operator()(const gateway_action::relay& it) const { self.relay(host, it); }
        void operator()(const gateway_action::cancel_relay& it) const { self.cancel_relay(host, it.token); }
        void operator()(const gateway_action::ask_peer& it) const { self.ask_peer(host, it); }
        void operator()(const gateway_action::report_relay&) const {}
        void operator()(const gateway_action::report_reach&) const {}
        void operator()(const gateway_action::cancel& it) const {
            const auto key = (attempt_id{host} << 48U) | it.id;
            const auto found = self.in_flight_.find(key);
            if (found != self.in_flight_.end()) {
                found->second->cancelled = true;
                self.remove_in_flight(key);
            }
        }
        void operator()(const gateway_action::answer& it) const {
            const auto request = self.requests_.at(it.token);
            client_result result{it.token,
                                 request.id,
                                 request.path,
                                 200,
                                 host,
                                 it.summary.parts,
                                 it.summary.parts_missing,
                                 self.now - request.when,
                                 self.now,
                                 {},
                                 it.summary.detail,
                                 it.report};
            if (const auto* const refused = std::get_if<gateway_answer::refused>(&it.value)) {
                result.status = refused->status;
                result.retry_after = refused->retry_after;
            } else if (const auto* const relayed = std::get_if<gateway_answer::relayed>(&it.value)) {
                result.status = relayed->status;
                result.missing = static_cast<std::uint32_t>(relayed->body.size()); // See answer_relay().
            } else if (const auto* const forwarded = std::get_if<gateway_answer::forwarded>(&it.value)) {
                result.status = forwarded->response.status;
            }
            if (!self.answer_relay(host, it.token, result)) {
                self.results.push_back(result);
            }
        }
        void operator()(const gateway_action::report_retry&) const {}
        void operator()(const gateway_action::report_loss&) const {}
        void operator()(const gateway_action::report_suspect&) const { self.pass_on_suspects(host); }
        void operator()(const gateway_action::report_searcher&) const {}
    };
    for (const auto& it : actions) {
        std::visit(visitor{*this, host}, it);
    }
    wake(host);
}

} // namespace skylarkseam::testing
