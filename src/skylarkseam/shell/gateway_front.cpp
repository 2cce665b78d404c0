#include <skylarkseam/shell/gateway_front.hpp>
#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/request_forwarding.hpp>

namespace skylarkseam {
namespace {

/// Marks the tokens of requests of other gateways; the HTTP server counts its own from 1.
constexpr request_token relayed_mark = request_token{1} << 63U;

/// A client has only the status; another host is told what is known of the execution.
struct answer_with {
    outgoing_response& response;
    const execution_report& report;

    void operator()(const respond& client) const { client(std::move(response)); }
    void operator()(const relay_respond& host) const { host(std::move(response), report); }
};

} // namespace

gateway_front::gateway_front(event_loop& loop, const platform_binding& binding, http_limits limits,
                             std::size_t answer_limit, gateway_options options,
                             std::function<duration()> knowledge_age, suspect_handler on_suspect,
                             metrics& measured)
    : loop_(loop)
    , binding_(binding)
    , knowledge_age_(std::move(knowledge_age))
    , on_suspect_(std::move(on_suspect))
    , measured_(measured)
    , gateway_(std::move(options))
    , pool_(
          loop, answer_limit,
          [this](upstream_call_id id, upstream_result result) {
              deliver(
                  gateway_event::attempt_ended{id, to_attempt_result(std::move(result), binding_.dialect)});
          },
          [this](upstream_call_id id) { deliver(gateway_event::attempt_sent{id}); })
    , checks_(loop,
              [this](std::uint64_t id, check_result result) {
                  deliver(gateway_event::searcher_checked{id, result});
              })
    , liveness_(loop, binding.dialect.expected_id,
                [this](std::uint64_t id, check_result result, std::optional<upstream_response> answer) {
                    gateway_event::searcher_checked event{id, result};
                    if (answer) {
                        upstream_result received;
                        received.sent = true;
                        received.response = std::move(answer);
                        event.answer = to_attempt_result(std::move(received), binding_.dialect);
                    }
                    deliver(std::move(event));
                })
    , server_(
          loop, limits,
          [this](incoming_request request, respond answer) { take(std::move(request), std::move(answer)); },
          [this](std::uint64_t id) {
              open_.erase(id);
              deliver(gateway_event::client_disconnected{id});
          })
    , timer_(loop, [this] { deliver(gateway_event::time_passed{}); }) {}

void gateway_front::take(incoming_request request, respond answer) {
    auto event = to_gateway_request(request, binding_.dialect);
    const auto token = request.id;
    open_[token] = {std::move(request), std::move(answer), loop_.now()};
    deliver(gateway_event::request_arrived{std::move(event)});
}

relay_handlers gateway_front::relay_side() {
    relay_handlers out;
    out.deliver = [this](gateway_input event) { deliver(std::move(event)); };
    out.decline_reason = [this](std::uint64_t config_version) -> std::optional<std::string> {
        if (draining_) {
            return "draining";
        }
        if (!gateway_.takes_relays(config_version)) {
            return gateway_.reach().cut_off() ? "cut_off" : "not_ready";
        }
        return std::nullopt;
    };
    out.peers_to_name = [this] { return gateway_.peers_to_name(loop_.now()); };
    out.take = [this](relay_request request, relay_respond answer) {
        return take_relayed(std::move(request), std::move(answer));
    };
    out.withdraw = [this](request_token token) { withdraw(token); };
    return out;
}

request_token gateway_front::take_relayed(relay_request request, relay_respond answer) {
    const auto token = relayed_mark | ++last_relayed_;
    incoming_request incoming;
    incoming.id = token;
    incoming.method = std::move(request.method);
    incoming.target = std::move(request.target);
    incoming.path = std::move(request.path);
    incoming.body = std::move(request.body);
    for (auto& it : request.headers) {
        incoming.headers.push_back({std::move(it.name), std::move(it.value)});
    }
    auto event = to_gateway_request(incoming, binding_.dialect);
    event.time_left = request.time_left;
    event.relayed = true;
    event.max_attempts = request.max_attempts;
    open_[token] = {std::move(incoming), std::move(answer), loop_.now()};
    ++relayed_open_;
    deliver(gateway_event::request_arrived{std::move(event)});
    return token;
}

void gateway_front::withdraw(request_token token) {
    forget(token);
    deliver(gateway_event::client_disconnected{token});
}

void gateway_front::forget(request_token token) {
    if (open_.erase(token) > 0 && (token & relayed_mark) != 0) {
        --relayed_open_;
    }
}

void gateway_front::deliver(gateway_input event) {
    events_.push_back(std::move(event));
    if (delivering_) {
        return;
    }
    delivering_ = true;
    while (!events_.empty()) {
        auto next = std::move(events_.front());
        events_.pop_front();
        std::vector<gateway_output> actions;
        gateway_.handle(std::move(next), loop_.now(), actions);
        perform(std::move(actions));
    }
    delivering_ = false;
    timer_.set(gateway_.next_wakeup());
}

void gateway_front::perform(std::vector<gateway_output> actions) {
    struct visitor {
        gateway_front& self;
        void operator()(gateway_action::send& it) const { self.send(it); }
        void operator()(gateway_action::check_searcher& it) const {
            if (it.liveness_path.empty()) {
                self.checks_.start(it.id, it.address, it.timeout);
            } else {
                self.liveness_.start(it);
            }
        }
        void operator()(gateway_action::cancel& it) const { self.pool_.cancel(it.id); }
        void operator()(gateway_action::relay& it) const {
            const auto found = self.open_.find(it.token);
            if (found != self.open_.end()) {
                self.relay_->send(it, found->second.request);
            }
        }
        void operator()(gateway_action::cancel_relay& it) const { self.relay_->cancel(it.token); }
        void operator()(gateway_action::ask_peer& it) const { self.relay_->ask(it); }
        void operator()(gateway_action::report_relay& it) const {
            log_event(log_level::info, "relay_failed",
                      {{"request", it.request},
                       {"peer", it.peer},
                       {"outcome", name_of(it.outcome)},
                       {"reason", it.reason}});
        }
        void operator()(gateway_action::report_reach& it) const {
            log_event(log_level::warning, it.cut_off ? "searchers_lost" : "searchers_regained",
                      {{"searchers", it.searchers}, {"unreachable", it.unreachable}, {"silent", it.silent}});
        }
        void operator()(gateway_action::answer& it) const { self.answer(it); }
        void operator()(gateway_action::report_retry& it) const {
            log_event(log_level::info, "again",
                      {{"request", it.request},
                       {"service", it.service},
                       {"searcher", it.searcher},
                       {"reason", it.reason},
                       {"after_ms", static_cast<std::uint64_t>(to_ms(it.since))}});
        }
        void operator()(gateway_action::report_loss& it) const {
            log_event(log_level::info, "request_lost",
                      {{"request", it.request},
                       {"fingerprint", it.fingerprint},
                       {"searcher", it.searcher},
                       {"service", it.service},
                       {"reason", it.reason},
                       {"after_ms", static_cast<std::uint64_t>(to_ms(it.since))},
                       {"also_open", it.also_open}});
            self.measured_.count("requests_lost", "service=\"" + it.service + "\"");
        }
        void operator()(gateway_action::report_suspect& it) const {
            // What other hosts have found out is in their logs.
            const bool is_told = !it.found_here && it.refused_for == duration::zero();
            log_event(is_told ? log_level::debug : log_level::warning, "request_suspected",
                      {{"fingerprint", it.fingerprint},
                       {"searcher", it.searcher},
                       {"found_here", it.found_here ? "yes" : "no"},
                       {"ends", it.ends},
                       {"outcome", it.outcome},
                       {"refused_for_ms", static_cast<std::uint64_t>(to_ms(it.refused_for))}});
            self.on_suspect_(it);
        }
        void operator()(gateway_action::report_searcher& it) const {
            log_event(log_level::info, "searcher",
                      {{"searcher", it.searcher},
                       {"service", it.service},
                       {"belief", it.health},
                       {"reason", it.reason}});
        }
    };
    for (auto& it : actions) {
        std::visit(visitor{*this}, it);
    }
}

void gateway_front::send(gateway_action::send& action) {
    const auto found = open_.find(action.token);
    if (found == open_.end()) {
        return;
    }
    upstream_call call;
    call.id = action.id;
    call.address = action.address;
    call.request =
        to_upstream_request(found->second.request, binding_.dialect, action.searcher, action.time_left);
    call.connect_timeout = action.connect_timeout;
    call.settle_time = action.settle_time;
    if (!pool_.send(std::move(call))) {
        deliver(gateway_event::attempt_connecting{action.id});
    }
}

void gateway_front::answer(gateway_action::answer& action) {
    const auto found = open_.find(action.token);
    if (found == open_.end()) {
        return;
    }
    auto open = std::move(found->second);
    forget(action.token);
    duration retry_after{};
    if (const auto* const refused = std::get_if<gateway_answer::refused>(&action.value)) {
        retry_after = refused->retry_after;
    }
    auto response = to_client_response(std::move(action.value), binding_.dialect);
    response.close = draining_;
    log_answer(action, response.status, retry_after);
    measured_.observe("request_seconds", "route=\"" + action.summary.route + "\"",
                      loop_.now() - open.arrived);
    measured_.count("answers", "route=\"" + action.summary.route + "\",status=\"" +
                                   std::to_string(response.status) + "\"");
    std::visit(answer_with{response, action.report}, open.answer_to);
}

void gateway_front::log_answer(const gateway_action::answer& action, int status, duration retry_after) {
    const auto& it = action.summary;
    log_event(log_level::info, "answer",
              {{"request", it.id},
               {"fingerprint", it.fingerprint},
               {"route", it.route},
               {"status", static_cast<std::uint64_t>(status)},
               {"version", it.config_version},
               {"known_ms_ago", static_cast<std::uint64_t>(to_ms(knowledge_age_()))},
               {"elapsed_ms", static_cast<std::uint64_t>(to_ms(it.elapsed))},
               {"objective_ms", static_cast<std::uint64_t>(to_ms(it.objective))},
               {"parts", it.parts},
               {"missing", it.parts_missing},
               {"missing_services", it.missing_services},
               {"attempts", it.attempts},
               {"extra", it.extra_attempts},
               {"relay", it.relay},
               {"retry_after_ms", static_cast<std::uint64_t>(to_ms(retry_after))},
               {"ran", name_of(action.report.ran)},
               {"ran_by", name_of(action.report.source)},
               {"fault", it.detail}});
}

void gateway_front::refuse_open() {
    for (const auto& [token, it] : open_) {
        log_event(log_level::warning, "answer_cut_by_stop",
                  {{"request", it.request.header(binding_.dialect.request_id)},
                   {"open_ms", static_cast<std::uint64_t>(to_ms(loop_.now() - it.arrived))}});
    }
    std::vector<gateway_output> actions;
    gateway_.end_open_requests(loop_.now(), actions);
    perform(std::move(actions));
}

bool gateway_front::set_table(std::shared_ptr<const routing_table> table) {
    std::vector<gateway_output> actions;
    const auto limits = table->limits;
    const bool newer = gateway_.set_table(std::move(table), loop_.now(), actions);
    if (newer) {
        server_.set_client_limits(limits.body_bytes, limits.header_timeout, limits.idle_timeout);
    }
    perform(std::move(actions));
    timer_.set(gateway_.next_wakeup());
    return newer;
}

void gateway_front::set_listing_complete() {
    std::vector<gateway_output> actions;
    gateway_.set_listing_complete(loop_.now(), actions);
    perform(std::move(actions));
    timer_.set(gateway_.next_wakeup());
}

void gateway_front::merge_suspects(const std::vector<suspect_report>& reports) {
    std::vector<gateway_output> actions;
    gateway_.merge_suspects(reports, loop_.now(), actions);
    perform(std::move(actions));
    timer_.set(gateway_.next_wakeup());
}

void gateway_front::update(const std::function<void(directory& searchers)>& change) {
    std::vector<gateway_output> actions;
    change(gateway_.searchers());
    gateway_.on_searchers_changed(loop_.now(), actions);
    perform(std::move(actions));
    timer_.set(gateway_.next_wakeup());
}

} // namespace skylarkseam
