#include <skylarkseam/shell/configuration_runner.hpp>
#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/wire/configuration_json.hpp>
#include <skylarkseam/wire/configuration_message_codec.hpp>

#include <nlohmann/json.hpp>

namespace skylarkseam {
namespace {

using nlohmann::json;

json silence_of(const std::optional<duration>& silent) {
    return silent ? json(to_ms(*silent)) : json();
}

} // namespace

configuration_runner::configuration_runner(
    event_loop& loop, platform_client& platform, peer_client& peers,
    std::function<void(std::shared_ptr<const configuration>)> on_change)
    : loop_(loop)
    , platform_(platform)
    , peers_(peers)
    , on_change_(std::move(on_change))
    , timer_(loop, [this] { handle(follower_event::time_passed{}); }) {}

void configuration_runner::start(follower_options options, peer_server& server,
                                 std::vector<std::string> peers) {
    follower_ =
        std::make_unique<configuration_follower>(std::move(options), json_configuration_codec(), loop_.now());
    follower_->set_peers(std::move(peers), loop_.now());
    server.serve(configuration_topic,
                 [this](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
                     serve(body, responder);
                 });
    handle(follower_event::time_passed{});
}

void configuration_runner::set_watching(bool watching) {
    std::vector<follower_output> out;
    follower_->set_watching(watching, loop_.now(), out);
    perform(out);
}

void configuration_runner::set_peers(std::vector<std::string> addresses) {
    follower_->set_peers(std::move(addresses), loop_.now());
    timer_.set(follower_->next_wakeup());
}

bool configuration_runner::cut_off() const {
    return follower_ != nullptr && follower_->cut_off(loop_.now());
}

std::string configuration_runner::state_json() const {
    if (follower_ == nullptr) {
        return "{}";
    }
    const auto view = follower_->view(loop_.now());
    const auto counters = follower_->counters();
    const json out{
        {"generation", view.generation},
        {"hash", view.hash},
        {"token", view.token},
        {"watching", view.watching},
        {"cut_off", view.cut_off},
        {"platform_silent_ms", silence_of(view.since_platform_answer)},
        {"peers_silent_ms", silence_of(view.since_peer_message)},
        {"confirmed", view.confirmed},
        {"platform_calls", counters.platform_calls},
        {"peer_calls", counters.peer_calls},
        {"refused_lower", counters.refused_lower},
        {"refused_invalid", counters.refused_invalid},
        {"parts_fetched", counters.parts_fetched},
        {"parts_reused", counters.parts_reused},
    };
    return out.dump();
}

void configuration_runner::serve(const std::string& body, const std::shared_ptr<peer_responder>& responder) {
    const auto request = decode_configuration_message(body);
    if (!request) {
        log_event(log_level::warning, "configuration_message_refused", {{"detail", request.error().detail}});
        responder->finish();
        return;
    }
    std::vector<follower_output> out;
    responder->send(encode(follower_->answer_peer(request.value(), loop_.now(), out)));
    responder->finish();
    perform(out);
}

void configuration_runner::handle(follower_input event) {
    std::vector<follower_output> out;
    follower_->handle(std::move(event), loop_.now(), out);
    perform(out);
}

void configuration_runner::perform(const std::vector<follower_output>& out) {
    for (const auto& it : out) {
        std::visit([this](const auto& action) { perform(action); }, it);
    }
    timer_.set(follower_->next_wakeup());
}

void configuration_runner::perform(const follower_action::call_platform& action) {
    platform_.call(action.request, [this, id = action.id](platform_response answer) {
        handle(follower_event::platform_answered{id, std::move(answer)});
    });
}

void configuration_runner::perform(const follower_action::call_peer& action) {
    peers_.call(action.address, configuration_topic, encode(action.message), action.timeout,
                [this, id = action.id](const stream_end& /*end*/, const std::string& frame) {
                    auto reply = decode_configuration_message(frame);
                    std::optional<any_configuration_message> message;
                    if (reply) {
                        message = std::move(reply.value());
                    }
                    handle(follower_event::peer_answered{id, std::move(message)});
                });
}

void configuration_runner::perform(const follower_action::put_in_force& action) {
    log_event(log_level::info, "configuration_in_force",
              {{"generation", action.config->generation}, {"source", action.source}});
    on_change_(action.config);
}

void configuration_runner::perform(const follower_action::report_refusal& action) {
    log_event(log_level::warning, "configuration_refused",
              {{"source", action.source}, {"detail", action.detail}});
}

} // namespace skylarkseam
