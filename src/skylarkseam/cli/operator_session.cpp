#include <skylarkseam/cli/operator_session.hpp>
#include <skylarkseam/wire/configuration_message_codec.hpp>

namespace skylarkseam {
namespace {

constexpr duration peer_timeout = seconds(1);

} // namespace

operator_session::operator_session(operator_targets targets)
    : targets_(std::move(targets))
    , platform_(http_, targets_.platform_url) {}

platform_response operator_session::call_platform(const platform_request& request) {
    platform_response out;
    platform_.call(request, [&](platform_response response) {
        out = std::move(response);
        loop_.stop();
    });
    loop_.run();
    return out;
}

http_response operator_session::get_url(const std::string& url) {
    http_response out;
    http_request request;
    request.url = url;
    http_.send(std::move(request), [&](http_response response) {
        out = std::move(response);
        loop_.stop();
    });
    loop_.run();
    return out;
}

std::vector<std::optional<any_configuration_message>>
operator_session::call_peers(const std::vector<std::string>& addresses,
                             const any_configuration_message& message) {
    std::vector<std::optional<any_configuration_message>> out(addresses.size());
    std::size_t pending = addresses.size();
    const auto body = encode(message);
    for (std::size_t n = 0; n < addresses.size(); ++n) {
        peers_.call(addresses[n], configuration_topic, body, peer_timeout,
                    [&, n](const stream_end& /*end*/, const std::string& frame) {
                        if (auto reply = decode_configuration_message(frame)) {
                            out[n] = std::move(reply.value());
                        }
                        if (--pending == 0) {
                            loop_.stop();
                        }
                    });
    }
    if (pending > 0) {
        loop_.run();
    }
    return out;
}

void operator_session::sleep(duration interval) {
    loop_.run_after(interval, [this] { loop_.stop(); });
    loop_.run();
}

} // namespace skylarkseam
