#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/second_source_runner.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr const char* searchers_topic = "gateway-searchers";

} // namespace

second_source_runner::second_source_runner(event_loop& loop, peer_client& client, peer_server& server,
                                           const store_replica& known, const peer_timing& timing,
                                           second_source_handlers handlers)
    : loop_(loop)
    , client_(client)
    , server_(server)
    , known_(known)
    , timing_(timing)
    , handlers_(std::move(handlers)) {}

void second_source_runner::serve() {
    server_.serve(
        searchers_topic, [this](const std::string& body, const std::shared_ptr<peer_responder>& to) {
            const auto request = decode_searchers_request(body);
            if (!request) {
                log_event(log_level::warning, "peer_message_refused", {{"fault", request.error().detail}});
                to->finish();
                return;
            }
            handlers_.on_request(request.value());
            const auto id = ++last_poll_id_;
            responders_[id] = to;
            const auto wait = std::min(request.value().wait, timing_.second_wait);
            polls_.add({id, request.value().position, loop_.now() + wait});
            answer_due();
        });
}

void second_source_runner::call(const peer_call& it, const gateway_identity& self) {
    const searchers_request request{self, known_.searchers_known(), timing_.second_wait};
    client_.call(it.address, searchers_topic, encode(request), timing_.second_wait + timing_.call_timeout,
                 [this, it](const stream_end& end, const std::string& frame) {
                     const auto update = decode_replica_update(frame);
                     if (!update) {
                         log_event(log_level::info, "second_source_lost",
                                   {{"peer", it.address}, {"fault", end.detail}});
                     }
                     handlers_.on_answer(it, update ? std::optional(update.value()) : std::nullopt);
                 });
}

void second_source_runner::answer_due() {
    answer(polls_.take_due(known_, loop_.now()));
}

void second_source_runner::answer_all() {
    answer(polls_.take_all());
}

void second_source_runner::answer(const std::vector<held_searcher_poll>& polls) {
    for (const auto& it : polls) {
        const auto responder = responders_.extract(it.id);
        responder.mapped()->send(encode(known_.searchers_after(it.position)));
        responder.mapped()->finish();
    }
}

} // namespace skylarkseam
