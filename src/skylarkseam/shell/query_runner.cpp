#include <skylarkseam/shell/query_runner.hpp>
#include <skylarkseam/wire/peer_codec.hpp>

namespace skylarkseam {

query_runner::query_runner(event_loop& loop, peer_client& peers, owner_runner& local, metrics& measured,
                           std::string node, const std::string& incarnation, std::uint64_t seed,
                           duration peer_timeout)
    : loop_(loop)
    , peers_(peers)
    , local_(local)
    , measured_(measured)
    , node_(std::move(node))
    , self_(node_ + "." + incarnation)
    , coordinator_(self_, seed)
    , peer_timeout_(peer_timeout)
    , timer_(loop, [this] { handle(coordinator_event::time_passed{}); })
    , owners_(std::make_shared<ownership>()) {}

query_id query_runner::start(query_request request, answer_sink on_answer) {
    const auto id = ++last_query_;
    sinks_[id] = std::move(on_answer);
    handle(coordinator_event::query_arrived{id, std::move(request)});
    return id;
}

void query_runner::abandon(query_id id) {
    if (sinks_.erase(id) > 0) {
        handle(coordinator_event::caller_disconnected{id});
    }
}

void query_runner::set_configuration(std::shared_ptr<const configuration> config) {
    coordinator_.set_configuration(std::move(config), loop_.now());
}

void query_runner::set_ownership(std::shared_ptr<const ownership> owners) {
    owners_ = owners;
    coordinator_.set_ownership(std::move(owners), loop_.now());
}

void query_runner::handle(coordinator_input event) {
    std::vector<coordinator_output> actions;
    coordinator_.handle(std::move(event), loop_.now(), actions);
    for (auto& it : actions) {
        std::visit([this](auto& action) { perform(action); }, it);
    }
    timer_.set(coordinator_.next_wakeup());
}

std::string query_runner::address_of(const std::string& node) const {
    for (const auto& it : owners_->members) {
        if (it.node == node) {
            return it.peer_address;
        }
    }
    return {};
}

void query_runner::perform(coordinator_action::send_batch& action) {
    auto batch = std::make_shared<open_batch>();
    batch->owner = action.owner;
    batch->query = action.batch.query;
    for (const auto& it : action.batch.subqueries) {
        batch->waiting.insert(it.attempt);
    }
    action.batch.coordinator = self_;
    if (action.owner == node_) {
        // From the next turn on, so that the coordinator is not called from inside its own actions.
        loop_.post([this, batch, message = std::move(action.batch)]() mutable {
            local_.submit(std::move(message),
                          [this, batch](subquery_reply reply, bool) { take_reply(batch, std::move(reply)); });
        });
        return;
    }
    peers_.open(
        address_of(action.owner), "subqueries", encode(action.batch),
        [this, batch](const std::string& frame) {
            auto reply = decode_subquery_reply(frame);
            if (!reply) {
                measured_.count("peer_messages_rejected");
                return;
            }
            take_reply(batch, std::move(reply.value()));
        },
        [this, batch](const stream_end& end) { end_batch(batch, end.sent); });
}

void query_runner::take_reply(const std::shared_ptr<open_batch>& batch, subquery_reply reply) {
    batch->waiting.erase(reply.attempt);
    handle(coordinator_event::reply_arrived{batch->owner, std::move(reply)});
}

void query_runner::end_batch(const std::shared_ptr<open_batch>& batch, bool sent) {
    if (batch->waiting.empty()) {
        return;
    }
    coordinator_event::batch_failed failed;
    failed.owner = batch->owner;
    failed.id = batch->query;
    failed.attempts.assign(batch->waiting.begin(), batch->waiting.end());
    failed.sent = sent;
    handle(std::move(failed));
}

void query_runner::perform(coordinator_action::send_cancel& action) {
    action.cancel.coordinator = self_;
    if (action.owner == node_) {
        loop_.post([this, cancel = std::move(action.cancel)] { local_.cancel(cancel); });
        return;
    }
    peers_.call(address_of(action.owner), "cancel", encode(action.cancel), peer_timeout_,
                [](const stream_end&, const std::string&) {});
}

void query_runner::perform(coordinator_action::request_status& action) {
    if (action.owner == node_) {
        loop_.post([this, group = action.group] {
            handle(coordinator_event::status_arrived{node_, local_.state().status(group)});
        });
        return;
    }
    peers_.call(address_of(action.owner), "status", action.group, peer_timeout_,
                [this, owner = action.owner](const stream_end&, const std::string& frame) {
                    auto status = decode_searcher_status(frame);
                    if (status) {
                        handle(coordinator_event::status_arrived{owner, std::move(status.value())});
                    }
                });
}

void query_runner::perform(coordinator_action::answer_query& action) {
    const auto it = sinks_.find(action.id);
    if (it == sinks_.end()) {
        return;
    }
    const auto on_answer = std::move(it->second);
    sinks_.erase(it);
    on_answer(std::move(action.answer));
}

} // namespace skylarkseam
