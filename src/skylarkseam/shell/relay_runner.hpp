// Passes requests on to other gateways, and takes theirs, over the streams between gateways.
#pragma once

#include <skylarkseam/gateway/exchange.hpp>
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/wire/relay_codec.hpp>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace skylarkseam {

/// Takes the answer to a request of another gateway, once.
using relay_respond = std::function<void(outgoing_response response, const execution_report& report)>;

/// The side that decides and answers.
struct relay_handlers {
    std::function<void(gateway_input event)> deliver;
    /// Why a request of another gateway is declined; absent if it is accepted.
    std::function<std::optional<std::string>(std::uint64_t config_version)> decline_reason;
    /// Gateways that are named to one that looks for others.
    std::function<std::vector<relay_peer>()> peers_to_name;
    /// Takes an accepted request. Returns its token.
    std::function<request_token(relay_request request, relay_respond answer)> take;
    std::function<void(request_token token)> withdraw;
};

class relay_runner {
public:
    relay_runner(peer_client& client, peer_server& server, relay_handlers handlers);

    void start();
    void send(const gateway_action::relay& action, const incoming_request& request);
    void cancel(request_token token);
    void ask(const gateway_action::ask_peer& action);

private:
    void answer_question(const std::string& body, const std::shared_ptr<peer_responder>& to);
    void take(const std::string& body, const std::shared_ptr<peer_responder>& to);
    void on_frame(request_token token, const std::string& frame);
    void on_end(request_token token, const stream_end& end);
    void finish(request_token token, relay_result result);

    struct sent_request {
        peer_stream stream = 0;
        bool decided = false; ///< The first frame has come.
    };

    peer_client& client_;
    peer_server& server_;
    relay_handlers handlers_;
    std::unordered_map<request_token, sent_request> sent_;
    /// Expires with this object; the server ends its streams later.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace skylarkseam
