// Runs the owner's decisions: its dispatches become HTTP requests to searchers, batches come from peers or
// this node.
#pragma once

#include <skylarkseam/core/owner.hpp>
#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/shell/metrics.hpp>
#include <skylarkseam/shell/peer_transport.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkseam {

class owner_runner {
public:
    /// Takes each reply of a batch; `last` with the final one.
    using reply_sink = std::function<void(subquery_reply reply, bool last)>;

    owner_runner(event_loop& loop, http_client& http, metrics& measured, const std::string& self,
                 owner_options options = {});

    /// Answers the topics "subqueries", "cancel" and "status" of other nodes.
    void serve(peer_server& server);

    // The same from this node's own coordinator.
    stream_id submit(subquery_batch batch, reply_sink on_reply);
    void cancel(const subquery_cancel& cancel);
    void close(stream_id stream);

    void set_configuration(std::shared_ptr<const configuration> config);
    void set_owned(const std::vector<std::string>& searchers, bool handed_over);
    void set_authority(authority value) { owner_.set_authority(value); }

    [[nodiscard]] const owner& state() const { return owner_; }

private:
    struct open_stream {
        std::string coordinator;
        query_id query = 0;
        reply_sink on_reply;
    };

    void handle(owner_input event);
    void apply(std::vector<owner_output>& actions);
    void perform(owner_action::dispatch& action);
    void perform(owner_action::cancel_dispatch& action);
    void perform(owner_action::send_reply& action);
    void perform(owner_action::poll_health& action);
    void send(const owner_action::dispatch& action);
    void serve_batch(const std::string& body, const std::shared_ptr<peer_responder>& responder);
    void forget(stream_id stream);

    event_loop& loop_;
    http_client& http_;
    metrics& measured_;
    owner owner_;
    wakeup_timer timer_;
    stream_id last_stream_ = 0;
    std::unordered_map<stream_id, open_stream> streams_;
    std::map<std::pair<std::string, query_id>, std::vector<stream_id>> streams_of_query_;
};

} // namespace skylarkseam
