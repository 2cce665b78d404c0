#include <skylarkseam/shell/admin_service.hpp>
#include <skylarkseam/shell/caller_service.hpp>
#include <skylarkseam/shell/configuration_runner.hpp>
#include <skylarkseam/shell/durable_services.hpp>
#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/membership_runner.hpp>
#include <skylarkseam/shell/node.hpp>
#include <skylarkseam/shell/owner_runner.hpp>
#include <skylarkseam/shell/platform_client.hpp>
#include <skylarkseam/shell/query_runner.hpp>
#include <skylarkseam/shell/server_limits.hpp>
#include <skylarkseam/shell/state_json.hpp>

#include <algorithm>
#include <random>

namespace skylarkseam {
namespace {

constexpr duration holder_check_interval = milliseconds(200);
constexpr duration drain_check_interval = milliseconds(20);
constexpr duration balancer_notice = seconds(1); ///< between the health endpoint's 503 and the first refusal
constexpr duration leave_timeout = seconds(5);   ///< for the handover of a leaving node's searchers
constexpr std::string_view cell_name = "cell-0";
constexpr duration ledger_flush_time = seconds(5);

follower_options follower_options_of(const node_settings& settings, const std::string& address) {
    follower_options options;
    options.node = settings.name;
    options.address = address;
    options.seed = std::random_device{}();
    options.watch_timeout = settings.timing.platform_watch;
    options.cut_off_after = settings.timing.cut_off;
    return options;
}

/// Rises with each start of a node, as far as its host's clock does; only its difference from others matters.
std::uint64_t new_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(since_epoch).count());
}

class node {
public:
    explicit node(const node_settings& settings)
        : settings_(settings)
        , incarnation_(new_incarnation())
        , http_(loop_, settings.limits.upstream_body_bytes)
        , platform_(http_, settings.platform_url, settings.timing.platform_timeout)
        , peers_(loop_, peer_limits_of(settings.limits))
        , peer_port_(loop_, peer_limits_of(settings.limits))
        , owner_(loop_, http_, metrics_, settings.name,
                 {settings.timing.health_poll, settings.limits.queue_length})
        , queries_(loop_, peers_, owner_, metrics_, settings.name, std::to_string(incarnation_),
                   std::random_device{}(), settings.timing.peer_timeout)
        , durable_(
              loop_, platform_, peers_, queries_, [this] { return config_; }, settings.name, incarnation_)
        , callers_(loop_, http_limits_of(settings.limits), {}, metrics_, handlers())
        , admin_(
              loop_, http_limits_of(settings.limits), metrics_, [this] { refresh_gauges(); },
              [this] { return unfit(); })
        , configuration_(loop_, platform_, peers_,
                         [this](auto config) { take_configuration(std::move(config)); }) {}

    int run() {
        write_logs_by(loop_);
        loop_.on_termination([this] { on_signal(); });
        listen();
        add_sections();
        follow_holder();
        loop_.run();
        flush_logs();
        return exit_code_;
    }

private:
    void listen() {
        owner_.serve(peer_port_);
        durable_.serve(peer_port_);
        const auto callers = callers_.listen(settings_.listen.callers);
        const auto admin = admin_.listen(settings_.listen.admin);
        const auto peers = peer_port_.listen(settings_.listen.peers);
        configuration_.start(follower_options_of(settings_, peers), peer_port_, settings_.seeds);
        member self{settings_.name, incarnation_, settings_.zone, settings_.region, peers};
        cell_settings cell{std::string(cell_name), {}, std::move(self), {}, std::random_device{}(),
                           settings_.seeds};
        membership_ = std::make_unique<membership_runner>(loop_, platform_, peers_, peer_port_,
                                                          std::move(cell), membership());
        log_event(log_level::info, "listening", {{"callers", callers}, {"admin", admin}, {"peers", peers}});
    }

    void add_sections() {
        admin_.add_section("configuration", [this] { return configuration_.state_json(); });
        admin_.add_section("configuration_objects", [this] { return state_json(*config_); });
        admin_.add_section("ownership", [this] { return state_json(*owners_, settings_.name); });
        admin_.add_section("membership", [this] { return membership_->state_json(); });
        admin_.add_section("queries", [this] { return state_json(queries_.state()); });
        durable_.add_sections(admin_);
        admin_.add_section("searchers", [this] { return state_json(owner_.state()); });
    }

    caller_handlers handlers() {
        caller_handlers out;
        durable_.add_handlers(out);
        out.unfit = [this] { return unfit(); };
        out.refuse = [this] { return refusal(); };
        out.configuration_now = [this] { return config_; };
        return out;
    }

    /// What the balancer is told.
    std::optional<error> unfit() const {
        if (draining_) {
            return make_error(error_kind::draining, "the node is shutting down");
        }
        return refusal();
    }

    /// What a new request is told.
    std::optional<error> refusal() const {
        if (refusing_) {
            return make_error(error_kind::draining, "the node is shutting down");
        }
        if (config_->generation == 0) {
            return make_error(error_kind::starting, "no configuration is in force yet");
        }
        if (owners_->owner_of.empty()) {
            return make_error(error_kind::starting, "the owners of the searchers are not known yet");
        }
        if (configuration_.cut_off()) {
            return make_error(error_kind::cut_off, "neither the platform nor any peer was heard of late");
        }
        return std::nullopt;
    }

    void take_configuration(std::shared_ptr<const configuration> config) {
        config_ = std::move(config);
        queries_.set_configuration(config_);
        owner_.set_configuration(config_);
        membership_->set_configuration(config_);
    }

    membership_handlers membership() {
        membership_handlers out;
        out.on_ownership = [this](std::shared_ptr<const ownership> owners) {
            owners_ = std::move(owners);
            queries_.set_ownership(owners_);
            durable_.set_members(owners_->members);
            configuration_.set_peers(peer_addresses());
        };
        out.on_serve = [this](const auto& searchers, bool handed_over) {
            owner_.set_owned(searchers, handed_over);
        };
        out.on_authority = [this](authority value) { owner_.set_authority(value); };
        out.on_left = [this] { left_ = true; };
        out.in_flight = [this](const auto& searcher) { return owner_.state().in_flight(searcher); };
        return out;
    }

    /// One watch a cell is enough: the lease's holder watches, the others learn from it and from each other.
    void follow_holder() {
        configuration_.set_watching(membership_->is_holder());
        loop_.run_after(holder_check_interval, [this] { follow_holder(); });
    }

    /// The members, and the seeds that are not known as members yet.
    std::vector<std::string> peer_addresses() const {
        auto addresses = settings_.seeds;
        for (const auto& it : owners_->members) {
            addresses.push_back(it.peer_address);
        }
        return addresses;
    }

    void refresh_gauges() {
        const auto& counters = queries_.state().counters();
        metrics_.gauge("open_queries", {}, static_cast<double>(queries_.state().open_queries()));
        metrics_.gauge("first_attempts", {}, static_cast<double>(counters.first_attempts));
        metrics_.gauge("hedges", {}, static_cast<double>(counters.hedges));
        metrics_.gauge("retries", {}, static_cast<double>(counters.retries));
        metrics_.gauge("replies_dropped", {}, static_cast<double>(counters.replies_dropped));
        metrics_.gauge("upstream_in_flight", {}, static_cast<double>(owner_.state().in_flight()));
        metrics_.gauge("platform_calls", {}, static_cast<double>(platform_.calls()));
        metrics_.gauge("rejected_requests", {}, static_cast<double>(callers_.rejected()));
        metrics_.gauge("rejected_peer_requests", {}, static_cast<double>(peer_port_.rejected()));
        metrics_.gauge("configuration_generation", {}, static_cast<double>(config_->generation));
    }

    void on_signal() {
        if (draining_) {
            log_event(log_level::warning, "shutdown_forced",
                      {{"open_requests", callers_.open_requests()},
                       {"upstream_in_flight", owner_.state().in_flight()}});
            exit_code_ = 1;
            loop_.stop();
            return;
        }
        draining_ = true;
        durable_.drain();
        log_event(log_level::info, "draining", {{"open_requests", callers_.open_requests()}});
        loop_.run_after(balancer_notice, [this] {
            refusing_ = true;
            leave_until_ = loop_.now() + leave_timeout;
            membership_->leave();
            drain_until_ = loop_.now() + settings_.timing.drain;
            check_drained();
        });
    }

    void check_drained() {
        const auto open = callers_.open_requests();
        const auto in_flight = owner_.state().in_flight();
        const bool left = left_ || loop_.now() >= leave_until_;
        if (open == 0 && in_flight == 0 && left && durable_.is_idle()) {
            durable_.close();
            flush_until_ = loop_.now() + ledger_flush_time;
            check_flushed();
            return;
        }
        if (loop_.now() >= drain_until_) {
            log_event(log_level::warning, "drain_timeout",
                      {{"open_requests", open}, {"upstream_in_flight", in_flight}});
            exit_code_ = 1;
            loop_.stop();
            return;
        }
        loop_.run_after(drain_check_interval, [this] { check_drained(); });
    }

    /// Waits for the ledger to be stored; a peer holds a copy of what the platform does not take.
    void check_flushed() {
        const auto backlog = durable_.ledger_backlog();
        if (backlog > 0 && loop_.now() < flush_until_) {
            loop_.run_after(drain_check_interval, [this] { check_flushed(); });
            return;
        }
        log_event(log_level::info, "drained", {{"ledger_backlog", backlog}});
        loop_.stop();
    }

    node_settings settings_;
    std::uint64_t incarnation_;
    event_loop loop_;
    metrics metrics_;
    http_client http_;
    platform_client platform_;
    peer_client peers_;
    peer_server peer_port_;
    owner_runner owner_;
    query_runner queries_;
    durable_services durable_;
    caller_service callers_;
    admin_service admin_;
    configuration_runner configuration_;
    std::unique_ptr<membership_runner> membership_;
    std::shared_ptr<const configuration> config_ = std::make_shared<configuration>();
    std::shared_ptr<const ownership> owners_ = std::make_shared<ownership>();
    bool draining_ = false; ///< the health endpoint says so
    bool refusing_ = false; ///< new requests are refused
    bool left_ = false;     ///< the cell's other members have this node's searchers
    time_point leave_until_{};
    time_point drain_until_{};
    time_point flush_until_{};
    int exit_code_ = 0;
};

} // namespace

int run_node(const node_settings& settings) {
    start_logging(settings.level, settings.name);
    return node(settings).run();
}

} // namespace skylarkseam
