#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/shell/suspect_runner.hpp>
#include <skylarkseam/wire/suspect_codec.hpp>

namespace skylarkseam {
namespace {

constexpr const char* suspects_topic = "gateway-suspects";
constexpr duration call_timeout = milliseconds(700);
/// Time after which a gateway that has not called any more counts as no follower; longer than it polls.
constexpr duration follower_ttl = seconds(8);

} // namespace

suspect_runner::suspect_runner(event_loop& loop, peer_client& client, peer_server& server,
                               suspect_source source)
    : loop_(loop)
    , client_(client)
    , server_(server)
    , source_(std::move(source))
    , timer_(loop, [this] { run(); }) {}

void suspect_runner::start(const std::string& own_address) {
    own_address_ = own_address;
    server_.serve(suspects_topic, [this](const std::string& body, const std::shared_ptr<peer_responder>& to) {
        answer(body, to);
    });
}

void suspect_runner::answer(const std::string& body, const std::shared_ptr<peer_responder>& to) {
    const auto message = decode_suspect_message(body);
    if (!message) {
        log_event(log_level::warning, "peer_message_refused", {{"fault", message.error().detail}});
        to->finish();
        return;
    }
    const auto& it = message.value();
    const auto& known = source_.known();
    suspect_message reply{own_address_, false, {}};
    if (it.ask) {
        reply.reports = known.reports_since(0, loop_.now());
        exchange_.note_told(it.sender, known.sequence());
    }
    to->send(encode(reply));
    to->finish();
    source_.merge(it.reports);
}

void suspect_runner::call(const suspect_call& it) {
    const suspect_message message{own_address_, it.ask, source_.known().reports_since(it.after, loop_.now())};
    client_.call(it.address, suspects_topic, encode(message), call_timeout,
                 [this, it](const stream_end& end, const std::string& frame) {
                     const auto reply = decode_suspect_message(frame);
                     if (!reply) {
                         log_event(log_level::info, "suspects_not_told",
                                   {{"peer", it.address}, {"fault", end.detail}});
                     }
                     exchange_.take_answer(it, reply.has_value(), loop_.now());
                     if (reply) {
                         source_.merge(reply.value().reports);
                     }
                     run();
                 });
}

void suspect_runner::run() {
    const auto latest = source_.known().sequence();
    std::vector<suspect_call> calls;
    exchange_.take_calls(latest, loop_.now(), calls);
    for (const auto& it : calls) {
        call(it);
    }
    timer_.set(exchange_.next_wakeup(latest));
}

void suspect_runner::note_follower(const std::string& address) {
    const bool known = followers_.contains(address);
    followers_[address] = loop_.now();
    if (!known) {
        update_neighbours();
    }
}

void suspect_runner::set_followed(const std::string& followed) {
    if (!followed.empty() && followed != followed_) {
        followed_ = followed;
        update_neighbours();
    }
}

void suspect_runner::note_restart(const std::string& address) {
    exchange_.note_restart(address, loop_.now());
    run();
}

void suspect_runner::update_neighbours() {
    std::erase_if(followers_, [this](const auto& it) { return loop_.now() - it.second > follower_ttl; });
    std::vector<std::string> addresses;
    for (const auto& [address, when] : followers_) {
        addresses.push_back(address);
    }
    exchange_.set_neighbours(followed_, addresses, loop_.now());
    run();
}

} // namespace skylarkseam
