#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/membership_runner.hpp>
#include <skylarkseam/wire/cell_codec.hpp>
#include <skylarkseam/wire/cell_json.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace skylarkseam {
namespace {

constexpr std::string_view topic = "cell";
constexpr duration call_timeout = milliseconds(500);
constexpr duration drain_check_interval = milliseconds(10);

record_version parse_version(const std::string& text) {
    record_version version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

cell_event::platform_answered to_event(platform_call_id call, const platform_response& response) {
    cell_event::platform_answered event{call, response.status, response.not_sent, 0, std::nullopt};
    if (response.status != platform_status::ok || response.objects.empty()) {
        return event;
    }
    const auto& object = response.objects.front();
    event.version = parse_version(object.version);
    auto record = decode_cell_record(object.value_json);
    if (record) {
        event.record = std::move(record.value());
    } else {
        log_event(log_level::error, "cell_record_refused", {{"detail", record.error().detail}});
    }
    return event;
}

nlohmann::json member_json(const cell_view::member_view& it, bool is_holder) {
    nlohmann::json out{{"node", it.node.node},
                       {"incarnation", it.node.incarnation},
                       {"availability_zone", it.node.zone},
                       {"peer_address", it.node.peer_address}};
    if (is_holder) {
        out["heard_ms_ago"] = to_ms(it.last_heard);
    }
    return out;
}

} // namespace

membership_runner::membership_runner(event_loop& loop, platform_client& platform, peer_client& peers,
                                     peer_server& server, cell_settings settings,
                                     membership_handlers handlers)
    : loop_(loop)
    , platform_(platform)
    , peers_(peers)
    , settings_(settings)
    , handlers_(std::move(handlers))
    , cell_(std::move(settings))
    , timer_(loop, [this] { handle(cell_event::time_passed{}); }) {
    server.serve(std::string(topic),
                 [this](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
                     serve_messages(body, responder);
                 });
    loop_.post([this] { handle(cell_event::time_passed{}); });
}

void membership_runner::set_configuration(std::shared_ptr<const configuration> config) {
    handle(cell_event::configuration_changed{std::move(config)});
}

void membership_runner::leave() {
    handle(cell_event::leave_requested{});
}

void membership_runner::handle(cell_input event) {
    std::vector<cell_output> actions;
    cell_.handle(std::move(event), loop_.now(), actions);
    for (auto& it : actions) {
        std::visit([this](auto& action) { perform(action); }, it);
    }
    timer_.set(cell_.next_wakeup());
    send_pending();
}

void membership_runner::call_platform(platform_call_id call, const platform_request& request) {
    platform_.call(request,
                   [this, call](const platform_response& response) { handle(to_event(call, response)); });
}

void membership_runner::perform(cell_action::read_record& action) {
    platform_request request;
    request.kind = cell_kind;
    request.name = settings_.name;
    call_platform(action.call, request);
}

void membership_runner::perform(cell_action::write_record& action) {
    platform_request request;
    request.method = action.version == 0 ? platform_method::create : platform_method::update;
    request.kind = cell_kind;
    request.name = settings_.name;
    request.version = std::to_string(action.version);
    request.value_json = encode_cell_record(action.record);
    call_platform(action.call, request);
}

void membership_runner::perform(cell_action::send_message& action) {
    const auto& self = settings_.self;
    pending_[action.address].push_back(
        {settings_.name, self.node, self.incarnation, self.peer_address, std::move(action.body)});
}

void membership_runner::send_pending() {
    const auto messages = std::move(pending_);
    pending_.clear();
    for (const auto& [address, list] : messages) {
        peers_.call(address, std::string(topic), encode(list), call_timeout,
                    [this](const stream_end&, const std::string& frame) {
                        if (!frame.empty()) {
                            take_messages(frame);
                        }
                    });
    }
}

/// What the messages are answered with at once goes back on the same stream.
void membership_runner::serve_messages(const std::string& body,
                                       const std::shared_ptr<peer_responder>& responder) {
    auto decoded = decode_cell_messages(body);
    if (!decoded || decoded.value().empty()) {
        responder->finish();
        return;
    }
    const auto sender = decoded.value().front().address;
    std::vector<cell_output> actions;
    for (auto& it : decoded.value()) {
        cell_.handle(cell_event::message_arrived{std::move(it)}, loop_.now(), actions);
    }
    for (auto& it : actions) {
        std::visit([this](auto& action) { perform(action); }, it);
    }
    if (const auto answer = pending_.extract(sender); !answer.empty()) {
        responder->send(encode(answer.mapped()));
    }
    responder->finish();
    timer_.set(cell_.next_wakeup());
    send_pending();
}

void membership_runner::take_messages(const std::string& body) {
    auto decoded = decode_cell_messages(body);
    if (!decoded) {
        return;
    }
    for (auto& it : decoded.value()) {
        handle(cell_event::message_arrived{std::move(it)});
    }
}

void membership_runner::perform(cell_action::ownership_changed& action) {
    log_event(log_level::info, "epoch_changed",
              {{"epoch", action.owners->epoch}, {"members", action.owners->members.size()}});
    handlers_.on_ownership(std::move(action.owners));
}

void membership_runner::perform(cell_action::serve& action) {
    log_event(log_level::info, "searchers_served",
              {{"searchers", action.searchers.size()},
               {"handed_over", action.handed_over.size()},
               {"stopped", action.stopped.size()}});
    std::vector<std::string> first;
    std::ranges::copy_if(action.searchers, std::back_inserter(first), [&](const auto& it) {
        return std::ranges::find(action.handed_over, it) == action.handed_over.end();
    });
    handlers_.on_serve(first, false);
    if (!action.handed_over.empty()) {
        handlers_.on_serve(action.searchers, true);
    }
    draining_.insert(action.stopped.begin(), action.stopped.end());
    for (const auto& it : action.searchers) {
        draining_.erase(it);
    }
    loop_.post([this] { check_drained(); });
}

void membership_runner::check_drained() {
    std::vector<std::string> drained;
    std::ranges::copy_if(draining_, std::back_inserter(drained),
                         [this](const auto& it) { return handlers_.in_flight(it) == 0; });
    for (const auto& it : drained) {
        draining_.erase(it);
        handle(cell_event::searcher_drained{it});
    }
    if (!draining_.empty()) {
        loop_.run_after(drain_check_interval, [this] { check_drained(); });
    }
}

void membership_runner::perform(cell_action::authority_changed& action) {
    handlers_.on_authority(action.value);
}

void membership_runner::perform(cell_action::left&) {
    log_event(log_level::info, "cell_left", {});
    handlers_.on_left();
}

std::string membership_runner::state_json() const {
    const auto view = cell_.view(loop_.now());
    const auto& counters = cell_.counters();
    nlohmann::json members = nlohmann::json::array();
    for (const auto& it : view.members) {
        members.push_back(member_json(it, view.is_holder));
    }
    const nlohmann::json out{
        {"cell", view.cell},
        {"epoch", view.epoch},
        {"version", view.version},
        {"holder", view.holder},
        {"is_holder", view.is_holder},
        {"is_member", view.is_member},
        {"lease",
         {{"full_ms", to_ms(view.full_for)},
          {"warm_ms", to_ms(view.warm_for)},
          {"backed_by_promises", view.backed_by_promises}}},
        {"members", std::move(members)},
        {"serving", view.serving},
        {"waiting_for_handover", view.waiting},
        {"last_reason", view.last_reason},
        {"platform_reads", counters.reads},
        {"platform_writes", counters.writes},
        {"messages", counters.messages},
    };
    return out.dump();
}

} // namespace skylarkseam
