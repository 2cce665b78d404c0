#include <skylarkseam/gateway/stop_plan.hpp>
#include <skylarkseam/shell/admin_service.hpp>
#include <skylarkseam/shell/gateway_front.hpp>
#include <skylarkseam/shell/gateway_node.hpp>
#include <skylarkseam/shell/knowledge_runner.hpp>
#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/server_limits.hpp>

#include <algorithm>
#include <random>

namespace skylarkseam {
namespace {

constexpr duration last_write_time = milliseconds(100); ///< for answers that were given just before the end
constexpr duration drain_check_interval = milliseconds(20);
constexpr std::uint32_t readiness_connections = 32;

extra_budget_limits extra_of(const gateway_settings& settings, time_point began) {
    const auto slack_available_from = settings.first_start ? began : began + settings.extra_window;
    return {settings.extra_ratio, settings.extra_slack, settings.extra_window, slack_available_from};
}

gateway_options options_of(const node_settings& settings, time_point began) {
    const auto& gateway = *settings.gateway;
    gateway_options options;
    options.view = {settings.zone, settings.region, gateway.region_of_zone};
    options.extra = extra_of(gateway, began);
    options.seed = std::random_device{}();
    return options;
}

peer_timing timing_of(const gateway_settings& settings) {
    return peer_timing::within(
        std::min({settings.configuration_in_force, settings.evacuation_in_force, settings.drain_in_force}));
}

host_census census_of(const node_settings& settings, time_point now) {
    std::set<std::string> zones;
    for (const auto& [zone, region] : settings.gateway->region_of_zone) {
        zones.insert(zone);
    }
    return {settings.zone, std::move(zones), settings.gateway->least_hosts, now};
}

class gateway_node {
public:
    gateway_node(const node_settings& settings, const platform_binding& binding,
                 std::function<std::optional<node_settings>()> reload)
        : settings_(settings)
        , binding_(binding)
        , reload_(std::move(reload))
        , front_(
              loop_, binding_, http_limits_of(settings.limits), settings.limits.upstream_body_bytes,
              options_of(settings, began_), [this] { return knowledge_.age(); },
              [this](const auto& it) { knowledge_.note_suspect(it.fingerprint, it.found_here); }, metrics_)
        , readiness_(loop_, {1024, settings.limits.header_bytes, readiness_connections, 64},
                     [this](const incoming_request&, const respond& answer) { answer_readiness(answer); })
        , admin_(
              loop_, http_limits_of(settings.limits), metrics_, [this] { refresh_gauges(); },
              [this] { return unfit(); })
        , knowledge_(loop_, binding_, settings.platform_url, timing_of(*settings.gateway),
                     peer_limits_of(settings.limits), std::random_device{}(),
                     census_of(settings, loop_.now()), handlers())
        , relay_(knowledge_.peers_out(), knowledge_.peers_in(), front_.relay_side()) {
        front_.use_relay(relay_);
    }

    int run() {
        write_logs_by(loop_);
        loop_.on_operator_signals([this] { reload(); },
                                  [this] {
                                      log_event(log_level::info, "state", {{"dump", admin_.state_json()}});
                                  });
        loop_.on_termination([this] { on_signal(); });
        const auto callers = front_.listen(settings_.listen.callers);
        const auto ready = readiness_.listen(settings_.gateway->readiness);
        const auto admin = admin_.listen(settings_.listen.admin);
        log_event(log_level::info, "start",
                  {{"callers", callers}, {"readiness", ready}, {"admin", admin}, {"zone", settings_.zone}});
        relay_.start();
        admin_.add_section("knowledge", [this] { return knowledge_.state_json(); });
        knowledge_.start(settings_.name, settings_.zone, settings_.listen.peers, peer_seeds(),
                         settings_.gateway->first_start);
        loop_.run();
        log_event(log_level::info, "stop", {{"open_requests", front_.open_requests()}});
        flush_logs();
        return exit_code_;
    }

private:
    /// Why the balancer should send nothing here.
    [[nodiscard]] std::optional<error> unfit() {
        if (draining_) {
            return make_error(error_kind::draining, "the node is shutting down");
        }
        if (front_.decisions().table()->version == 0) {
            return make_error(error_kind::starting, "no configuration is known yet");
        }
        if (!complete_) {
            return make_error(error_kind::starting, "not all searchers are known yet");
        }
        return std::nullopt;
    }

    void answer_readiness(const respond& answer) {
        const auto fault = unfit();
        outgoing_response response;
        response.status = fault ? 503 : 200;
        response.body = fault ? R"({"ready":false})" : R"({"ready":true})";
        answer(std::move(response));
    }

    knowledge_handlers handlers() {
        knowledge_handlers out;
        out.on_searchers = [this](const auto& changes) { take_searchers(changes); };
        out.on_evacuations = [this](const auto& zones) {
            front_.update([&](directory& searchers) { searchers.set_evacuated(zones, loop_.now()); });
        };
        out.on_routing = [this](auto table) { take_table(std::move(table)); };
        out.on_store_restored = [this] {
            metrics_.count("store_restored", {});
            front_.update([&](directory& searchers) { searchers.note_store_restored(loop_.now()); });
        };
        out.on_complete = [this] {
            complete_ = true;
            front_.set_listing_complete();
        };
        out.suspects.known = [this]() -> const crash_suspects& { return front_.decisions().suspects(); };
        out.suspects.merge = [this](const auto& reports) { front_.merge_suspects(reports); };
        out.on_members = [this](const auto& members) { take_members(members); };
        out.on_hosts = [this](const host_counts& hosts) {
            front_.decisions().set_hosts(hosts);
            log_event(log_level::info, "hosts",
                      {{"hosts", hosts.total}, {"hosts_here", hosts.in_own_zone}, {"zones", hosts.zones}});
        };
        return out;
    }

    void take_searchers(const std::vector<registration>& changes) {
        const auto knowledge_age = knowledge_.age();
        front_.update([&](directory& searchers) {
            for (const auto& it : changes) {
                if (it.record) {
                    searchers.put(*it.record, loop_.now(), knowledge_age);
                } else {
                    searchers.remove(it.id, it.store_was_away, loop_.now(), knowledge_age);
                }
            }
        });
    }

    void take_members(const std::vector<gateway_identity>& members) {
        std::vector<relay_peer> peers;
        peers.reserve(members.size());
        for (const auto& it : members) {
            peers.push_back({it.address, it.zone});
        }
        front_.decisions().set_peers(peers);
    }

    void take_table(std::shared_ptr<const routing_table> table) {
        const auto version = table->version;
        const auto routes = table->routes.size();
        const bool newer = front_.set_table(std::move(table));
        log_event(log_level::info, newer ? "configuration" : "configuration_ignored",
                  {{"version", version}, {"routes", routes}});
    }

    /// The seeds are the operators' addresses of other hosts; all hosts use the same ports.
    [[nodiscard]] std::vector<std::string> peer_seeds() const {
        const auto port = settings_.listen.peers.substr(settings_.listen.peers.rfind(':'));
        std::vector<std::string> out;
        for (const auto& it : settings_.seeds) {
            out.push_back(it.substr(0, it.rfind(':')) + port);
        }
        return out;
    }

    void refresh_gauges() {
        const auto& counters = front_.decisions().counters();
        metrics_.gauge("requests", {}, static_cast<double>(counters.requests));
        metrics_.gauge("answers_whole", {}, static_cast<double>(counters.whole));
        metrics_.gauge("answers_partial", {}, static_cast<double>(counters.partial));
        metrics_.gauge("answers_refused", {}, static_cast<double>(counters.refused));
        metrics_.gauge("attempts", {}, static_cast<double>(counters.attempts));
        metrics_.gauge("extra_attempts", {}, static_cast<double>(counters.extra_attempts));
        metrics_.gauge("extra_denied", {}, static_cast<double>(counters.extra_denied));
        metrics_.gauge("searchers_leaving_announced", {}, static_cast<double>(counters.leaving_announced));
        metrics_.gauge("searcher_back_offs", {}, static_cast<double>(counters.back_offs));
        metrics_.gauge("searcher_rate_limits", {}, static_cast<double>(counters.rate_limits));
        metrics_.gauge("searcher_checks", {}, static_cast<double>(counters.searcher_checks));
        metrics_.gauge("crash_refusals", {}, static_cast<double>(counters.crash_refusals));
        metrics_.gauge("requests_relayed", {}, static_cast<double>(counters.relayed));
        metrics_.gauge("cut_off_from_searchers", {}, front_.decisions().reach().cut_off() ? 1.0 : 0.0);
        metrics_.gauge("suspected_requests", {}, static_cast<double>(front_.decisions().suspects().size()));
        metrics_.gauge("refused_requests", {},
                       static_cast<double>(front_.decisions().suspects().refused(loop_.now())));
        metrics_.gauge("upstream_connections", {}, static_cast<double>(front_.pool().connections));
        metrics_.gauge("upstream_connections_opened", {},
                       static_cast<double>(front_.pool().connections_opened));
        metrics_.gauge("upstream_held_bytes", {}, static_cast<double>(front_.pool().held_bytes));
        metrics_.gauge("knowledge_age_ms", {}, static_cast<double>(to_ms(knowledge_.age())));
        metrics_.gauge("store_calls", {}, static_cast<double>(knowledge_.store_calls()));
        metrics_.gauge("open_requests", {}, static_cast<double>(front_.open_requests()));
        metrics_.gauge("configuration_version", {}, static_cast<double>(front_.decisions().table()->version));
        metrics_.gauge("log_lines_left_out", {}, static_cast<double>(log_lines_left_out()));
        const auto& searchers = front_.decisions().searchers();
        metrics_.gauge("searchers", {}, static_cast<double>(searchers.size()));
        for (const auto fault : {searcher_fault::silent, searcher_fault::failing, searcher_fault::unreachable,
                                 searcher_fault::replaced}) {
            metrics_.gauge("searchers_in_fault", "fault=\"" + std::string(name_of(fault)) + "\"",
                           static_cast<double>(searchers.count(fault)));
        }
    }

    void on_signal() {
        if (draining_) {
            log_event(log_level::warning, "shutdown_forced", {{"open_requests", front_.open_requests()}});
            exit_code_ = 1;
            loop_.stop();
            return;
        }
        draining_ = true;
        front_.drain();
        knowledge_.leave();
        drain_began_ = loop_.now();
        log_event(log_level::info, "draining", {{"open_requests", front_.open_requests()}});
        check_drained();
    }

    /// Takes what may change while the process runs: the seeds, the budget and the stop time. Addresses and
    /// the zone stay until the next start.
    void reload() {
        const auto fresh = reload_();
        if (!fresh || !fresh->gateway) {
            log_event(log_level::warning, "reload", {{"outcome", "refused"}});
            return;
        }
        const auto& gateway = *fresh->gateway;
        settings_.seeds = fresh->seeds;
        settings_.gateway->stop_grace = gateway.stop_grace;
        front_.decisions().set_extra_budget(extra_of(gateway, began_));
        knowledge_.set_seeds(peer_seeds());
        log_event(log_level::info, "reload", {{"outcome", "taken"}, {"seeds", settings_.seeds.size()}});
    }

    void check_drained() {
        const auto since = loop_.now() - drain_began_;
        switch (next_stop_step(since, settings_.gateway->stop_grace, front_.open_requests())) {
        case stop_step::serve:
            break;
        case stop_step::refuse_new:
            refuse_new();
            break;
        case stop_step::end:
            refuse_new();
            loop_.stop();
            return;
        case stop_step::cut:
            front_.refuse_open();
            loop_.run_after(last_write_time, [this] { loop_.stop(); });
            return;
        }
        loop_.run_after(drain_check_interval, [this] { check_drained(); });
    }

    void refuse_new() {
        if (taking_new_) {
            taking_new_ = false;
            front_.refuse_new();
            log_event(log_level::info, "refusing_new", {{"open_requests", front_.open_requests()}});
        }
    }

    node_settings settings_;
    platform_binding binding_;
    std::function<std::optional<node_settings>()> reload_;
    event_loop loop_;
    time_point began_ = loop_.now();
    metrics metrics_;
    gateway_front front_;
    http_server readiness_;
    admin_service admin_;
    knowledge_runner knowledge_;
    relay_runner relay_;
    bool complete_ = false; ///< every searcher's registration is known
    bool draining_ = false;
    bool taking_new_ = true; ///< for clients
    time_point drain_began_{};
    int exit_code_ = 0;
};

} // namespace

int run_gateway(const node_settings& settings, const platform_binding& binding,
                std::function<std::optional<node_settings>()> reload) {
    start_logging(settings.level, settings.name);
    return gateway_node(settings, binding, std::move(reload)).run();
}

} // namespace skylarkseam
