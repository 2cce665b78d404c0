#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/relay_runner.hpp>

namespace skylarkseam {
namespace {

constexpr const char* relay_topic = "gateway-relay";
constexpr const char* question_topic = "gateway-relay-question";
constexpr duration question_timeout = milliseconds(250); ///< a round trip between regions and a busy host

std::vector<header_field> to_fields(const std::vector<http_header>& headers) {
    std::vector<header_field> out;
    out.reserve(headers.size());
    for (const auto& it : headers) {
        out.push_back({it.name, it.value});
    }
    return out;
}

gateway_answer::relayed to_answer(outgoing_response response, const execution_report& report) {
    return {response.status, std::move(response.content_type), to_fields(response.headers),
            std::move(response.body), report};
}

} // namespace

relay_runner::relay_runner(peer_client& client, peer_server& server, relay_handlers handlers)
    : client_(client)
    , server_(server)
    , handlers_(std::move(handlers)) {}

void relay_runner::start() {
    server_.serve(relay_topic, [this](const std::string& body, const std::shared_ptr<peer_responder>& to) {
        take(body, to);
    });
    server_.serve(question_topic, [this](const std::string& body, const std::shared_ptr<peer_responder>& to) {
        answer_question(body, to);
    });
}

void relay_runner::answer_question(const std::string& body, const std::shared_ptr<peer_responder>& to) {
    const auto question = decode_relay_question(body);
    if (question) {
        const bool takes = !handlers_.decline_reason(question.value().config_version);
        to->send(encode(relay_offer{takes, handlers_.peers_to_name()}));
    } else {
        log_event(log_level::warning, "peer_message_refused", {{"fault", question.error().detail}});
    }
    to->finish();
}

void relay_runner::ask(const gateway_action::ask_peer& action) {
    client_.call(action.address, question_topic, encode(relay_question{action.config_version}),
                 question_timeout,
                 [this, address = action.address](const stream_end& end, const std::string& frame) {
                     const auto decoded = decode_relay_offer(frame);
                     const auto offer = decoded ? std::optional(decoded.value()) : std::nullopt;
                     const auto* const state = offer && offer->takes ? "takes_requests" : "declines";
                     log_event(log_level::info, "relay_peer",
                               {{"peer", address},
                                {"state", offer ? state : "unknown"},
                                {"named", offer ? offer->others.size() : 0U},
                                {"detail", end.detail}});
                     handlers_.deliver(gateway_event::peer_asked{address, offer, end.answered});
                 });
}

void relay_runner::take(const std::string& body, const std::shared_ptr<peer_responder>& to) {
    auto request = decode_relay_request(body);
    if (!request) {
        log_event(log_level::warning, "peer_message_refused", {{"fault", request.error().detail}});
        to->finish();
        return;
    }
    const auto reason = handlers_.decline_reason(request.value().config_version);
    to->send(encode(relay_decision{!reason, reason.value_or("")}));
    if (reason) {
        to->finish();
        return;
    }
    const auto answered = std::make_shared<bool>(false);
    const auto token =
        handlers_.take(std::move(request.value()),
                       [to, answered](outgoing_response response, const execution_report& report) {
                           *answered = true;
                           to->send(encode(to_answer(std::move(response), report)));
                           to->finish();
                       });
    to->on_withdrawn([this, token, answered, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.lock() && !*answered) {
            handlers_.withdraw(token);
        }
    });
}

void relay_runner::send(const gateway_action::relay& action, const incoming_request& request) {
    relay_request message;
    message.config_version = action.config_version;
    message.time_left = action.time_left;
    message.max_attempts = action.max_attempts;
    message.method = request.method;
    message.target = request.target;
    message.path = request.path;
    message.headers = to_fields(request.headers);
    message.body = request.body;
    const auto token = action.token;
    sent_[token] = {};
    sent_[token].stream = client_.open(
        action.address, relay_topic, encode(message),
        [this, token](const std::string& frame) { on_frame(token, frame); },
        [this, token](const stream_end& end) { on_end(token, end); });
}

void relay_runner::on_frame(request_token token, const std::string& frame) {
    const auto found = sent_.find(token);
    if (found == sent_.end()) {
        return;
    }
    if (!found->second.decided) {
        found->second.decided = true;
        const auto decision = decode_relay_decision(frame);
        if (decision && decision.value().accepted) {
            handlers_.deliver(gateway_event::relay_accepted{token});
        } else {
            finish(token, {decision ? relay_outcome::declined : relay_outcome::lost,
                           {},
                           decision ? decision.value().reason : decision.error().detail});
        }
        return;
    }
    auto answer = decode_relayed_answer(frame);
    if (answer) {
        finish(token, {relay_outcome::answered, std::move(answer.value()), {}});
    } else {
        finish(token, {relay_outcome::lost, {}, answer.error().detail});
    }
}

void relay_runner::on_end(request_token token, const stream_end& end) {
    const auto found = sent_.find(token);
    if (found == sent_.end()) {
        return;
    }
    const auto outcome = end.sent ? relay_outcome::lost : relay_outcome::not_sent;
    sent_.erase(found);
    handlers_.deliver(gateway_event::relay_ended{token, {outcome, {}, end.detail}});
}

void relay_runner::finish(request_token token, relay_result result) {
    const auto stream = sent_.at(token).stream;
    sent_.erase(token);
    client_.reset(stream);
    handlers_.deliver(gateway_event::relay_ended{token, std::move(result)});
}

void relay_runner::cancel(request_token token) {
    const auto found = sent_.find(token);
    if (found != sent_.end()) {
        const auto stream = found->second.stream;
        sent_.erase(found);
        client_.reset(stream);
    }
}

} // namespace skylarkseam
