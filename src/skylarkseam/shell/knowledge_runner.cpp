#include <skylarkseam/shell/knowledge_runner.hpp>
#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/wire/gateway_codec.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr const char* greet_topic = "gateway-greet";
constexpr const char* follow_topic = "gateway-follow";
constexpr duration longest_hold = seconds(5); ///< of a follower's answer, whatever it asks for

} // namespace

knowledge_runner::knowledge_runner(event_loop& loop, const platform_binding& binding,
                                   const std::string& store_url, const peer_timing& timing,
                                   peer_limits limits, std::uint64_t epoch, host_census census,
                                   knowledge_handlers handlers)
    : loop_(loop)
    , binding_(binding)
    , timing_(timing)
    , limits_(limits)
    , handlers_(std::move(handlers))
    , client_(loop, limits)
    , server_(loop, limits)
    , suspects_(loop, client_, server_, handlers_.suspects)
    , suspect_store_(loop, binding, store_url, epoch, handlers_.suspects)
    , store_(loop, binding, store_url, epoch, store_timing::for_peers(timing),
             [this](std::vector<store_output> events) { take_store(std::move(events)); })
    , known_(epoch)
    , second_(loop, client_, server_, known_, timing, second_handlers())
    , timer_(loop, [this] { tick(); })
    , polls_(timing)
    , census_(std::move(census)) {}

void knowledge_runner::start(const std::string& name, const std::string& zone, const std::string& address,
                             std::vector<std::string> seeds, bool first_start) {
    serve();
    const auto bound = server_.listen(address);
    group_ = std::make_unique<peer_group>(gateway_identity{name, zone, bound}, std::move(seeds), timing_,
                                          first_start, loop_.now());
    log_event(log_level::info, "peers_listening", {{"address", bound}});
    suspects_.start(bound);
    tick();
}

void knowledge_runner::leave() {
    group_->set_leaving();
    for (const auto& it : polls_.take_all()) {
        answer(it);
    }
    second_.answer_all();
}

second_source_handlers knowledge_runner::second_handlers() {
    second_source_handlers out;
    out.on_request = [this](const searchers_request& request) {
        group_->take_call({request.sender, false, {}, {}}, loop_.now());
        begin_incarnation(request.position.incarnation, request.sender.name);
    };
    out.on_answer = [this](const peer_call& it, const std::optional<replica_update>& update) {
        if (update) {
            take_registrations(*update, it.address);
        }
        group_->take_answer(it, update ? std::optional<group_view>(std::in_place) : std::nullopt, {},
                            loop_.now());
        tick();
    };
    return out;
}

void knowledge_runner::serve() {
    second_.serve();
    server_.serve(greet_topic, [this](const std::string& body, const std::shared_ptr<peer_responder>& to) {
        const auto view = decode_group_view(body);
        if (view) {
            group_->take_call(view.value(), loop_.now());
            to->send(encode(group_->view_for(view.value().sender.zone, loop_.now())));
        }
        to->finish();
    });
    server_.serve(follow_topic, [this](const std::string& body, const std::shared_ptr<peer_responder>& to) {
        const auto request = decode_follow_request(body);
        if (!request) {
            log_event(log_level::warning, "peer_message_refused", {{"fault", request.error().detail}});
            to->finish();
            return;
        }
        const auto& it = request.value();
        group_->take_call(it.view, loop_.now());
        suspects_.note_follower(it.view.sender.address);
        begin_incarnation(it.position.incarnation, it.view.sender.name);
        const auto id = ++last_poll_id_;
        responders_[id] = to;
        const auto now = loop_.now();
        polls_.add({id, it.view.sender, it.position, now, now + std::min(it.wait, longest_hold)});
        answer_followers();
        timer_.set(next_wakeup());
    });
}

void knowledge_runner::tick() {
    const auto now = loop_.now();
    settle();
    std::vector<peer_call> calls;
    group_->take_calls(now, calls);
    for (const auto& it : calls) {
        call(it);
    }
    suspects_.set_followed(group_->followed());
    const bool watch = group_->should_watch_store(known_.confirmed(), now);
    store_.set_scope(scope(watch), group_->has_predecessor(), known_.revisions(), known_.incarnation());
    if (watch != watching_) {
        watching_ = watch;
        log_event(log_level::info, watch ? "watching_store" : "following",
                  {{"peer", group_->followed()}, {"routing_version", known_.routing().version}});
    }
    const bool alone = watch && hosts_.zones > 1 && group_->followed().empty();
    suspect_store_.set_duty({watch, alone});
    census_.update(group_->hosts_by_zone(), now);
    if (auto members = group_->members(); members != members_) {
        members_ = std::move(members);
        handlers_.on_members(members_);
    }
    const auto hosts = census_.counts(now);
    if (hosts != hosts_) {
        hosts_ = hosts;
        handlers_.on_hosts(hosts);
    }
    answer_followers();
    timer_.set(next_wakeup());
}

store_scope knowledge_runner::scope(bool watch) const {
    if (watch) {
        return store_scope::everything;
    }
    const bool second = known_.complete() && group_->is_second_source(loop_.now());
    return second ? store_scope::searchers : store_scope::nothing;
}

std::optional<time_point> knowledge_runner::next_wakeup() const {
    auto next = group_->next_wakeup();
    const auto add = [&next](std::optional<time_point> when) {
        if (when && (!next || *when < *next)) {
            next = when;
        }
    };
    add(known_.settles_at());
    add(polls_.next_wakeup(as_source()));
    add(second_.next_wakeup());
    const auto lost_at = store_.state().lost_at();
    if (lost_at && *lost_at > loop_.now()) {
        add(lost_at);
    }
    if (const auto confirmed = known_.confirmed(); confirmed && !watching_) {
        add(*confirmed + timing_.max_knowledge_age);
    }
    return next;
}

source_state knowledge_runner::as_source() const {
    const auto lost_at = store_.state().lost_at();
    return {&known_, lost_at && *lost_at <= loop_.now()};
}

void knowledge_runner::call(const peer_call& it) {
    const auto view = group_->view_for({}, loop_.now());
    if (it.what == peer_call::kind::greet) {
        client_.call(it.address, greet_topic, encode(view), timing_.call_timeout,
                     [this, it](const stream_end&, const std::string& frame) {
                         const auto reply = decode_group_view(frame);
                         const auto seen = reply ? std::optional(reply.value()) : std::nullopt;
                         group_->take_answer(it, seen, {}, loop_.now());
                         tick();
                     });
        return;
    }
    if (it.what == peer_call::kind::follow_second) {
        second_.call(it, view.sender);
        return;
    }
    auto position = positions_[it.address];
    position.incarnation = known_.incarnation();
    const follow_request request{view, position, timing_.follow_wait};
    client_.call(
        it.address, follow_topic, encode(request), timing_.follow_wait + timing_.call_timeout,
        [this, it](const stream_end& end, const std::string& frame) {
            const auto reply = decode_follow_reply(frame);
            if (reply) {
                const auto& update = reply.value().update;
                const bool outdated = update.incarnation < known_.incarnation();
                take_update(update, it.address);
                if (update.age >= timing_.max_source_age) {
                    const bool never_confirmed = update.age == duration::max();
                    log_event(log_level::info, "peer_stale",
                              {{"peer", it.address},
                               {"age_ms", never_confirmed ? "unknown" : std::to_string(to_ms(update.age))}});
                }
                group_->take_answer(it, reply.value().view, outdated ? duration::max() : update.age,
                                    loop_.now());
            } else {
                log_event(log_level::info, "peer_lost", {{"peer", it.address}, {"fault", end.detail}});
                group_->take_answer(it, std::nullopt, {}, loop_.now());
            }
            tick();
        });
}

bool knowledge_runner::take_registrations(const replica_update& update, const std::string& address) {
    if (update.incarnation < known_.incarnation()) {
        log_event(log_level::info, "peer_outdated",
                  {{"peer", address},
                   {"store_incarnation", update.incarnation},
                   {"known_incarnation", known_.incarnation()}});
        return false;
    }
    begin_incarnation(update.incarnation, address);
    const auto changes = known_.apply(update);
    apply(changes.registrations);
    apply(changes.evacuations);
    return true;
}

void knowledge_runner::take_update(const replica_update& update, const std::string& address) {
    if (!take_registrations(update, address)) {
        return;
    }
    if (positions_[address].epoch != update.epoch) {
        suspects_.note_restart(address);
    }
    if (update.routing && update.routing->version > known_.routing().version) {
        auto value = binding_.read_routing(update.routing->text);
        if (auto* const table = std::get_if<std::shared_ptr<const routing_table>>(&value)) {
            apply(*update.routing, std::move(*table), address);
        }
    }
    note_complete();
    if (update.age != duration::max()) {
        known_.confirm(loop_.now() - update.age);
    }
    positions_[address] = {update.epoch, update.sequence, known_.routing().version, known_.incarnation()};
}

void knowledge_runner::apply(const std::vector<registration>& changes) {
    if (!changes.empty()) {
        handlers_.on_searchers(changes);
    }
}

void knowledge_runner::apply(const std::vector<evacuation>& changes) {
    if (!changes.empty()) {
        handlers_.on_evacuations(known_.evacuated_zones());
    }
}

void knowledge_runner::apply(const routing_source& source, std::shared_ptr<const routing_table> table,
                             const std::string& from) {
    if (!known_.apply(source)) {
        return;
    }
    log_event(log_level::info, "configuration_received",
              {{"version", source.version},
               {"from", from},
               {"knowledge_age_ms", static_cast<std::uint64_t>(to_ms(age()))}});
    group_->set_second_source(table->limits_cold_rates());
    handlers_.on_routing(std::move(table));
}

void knowledge_runner::note_complete() {
    if (known_.complete() && !complete_) {
        complete_ = true;
        log_event(log_level::info, "complete",
                  {{"searchers", known_.searchers()}, {"from", watching_ ? "store" : "peer"}});
        handlers_.on_complete();
    }
}

void knowledge_runner::note_suspect(const std::string& fingerprint, bool found_here) {
    suspects_.run();
    suspect_store_.note_suspect(fingerprint, found_here);
}

void knowledge_runner::answer_followers() {
    for (const auto& it : polls_.take_due(as_source(), loop_.now())) {
        answer(it);
    }
    second_.answer_due();
}

void knowledge_runner::answer(const held_poll& poll) {
    const auto responder = responders_.extract(poll.id);
    auto update = follower_polls::answer_to(poll, as_source(), loop_.now());
    const bool knows_members = poll.position.epoch == update.epoch;
    const follow_reply reply{group_->view_for_follower(poll.follower, knows_members, loop_.now()),
                             std::move(update)};
    responder.mapped()->send(encode(reply));
    responder.mapped()->finish();
}

duration knowledge_runner::age() const {
    return known_.confirmed() ? std::max(duration::zero(), loop_.now() - *known_.confirmed())
                              : duration::zero();
}

std::string knowledge_runner::state_json() const {
    const auto age = known_.confirmed() ? to_ms(loop_.now() - *known_.confirmed()) : -1;
    return R"({"routing_version":)" + std::to_string(known_.routing().version) + R"(,"searchers":)" +
           std::to_string(known_.searchers()) + R"(,"confirmed_ms_ago":)" + std::to_string(age) +
           R"(,"store_incarnation":)" + std::to_string(known_.incarnation()) + R"(,"hosts":)" +
           std::to_string(hosts_.total) + R"(,"watching_store":)" + (watching_ ? "true" : "false") +
           R"(,"second_source":)" + (store_.scope() == store_scope::searchers ? "true" : "false") +
           R"(,"followers":)" + std::to_string(polls_.size()) + "}";
}

} // namespace skylarkseam
