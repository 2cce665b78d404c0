#include <skylarkseam/shell/owner_runner.hpp>
#include <skylarkseam/wire/peer_codec.hpp>
#include <skylarkseam/wire/platform_json.hpp>
#include <skylarkseam/wire/upstream_json.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr int status_ok = 200;
constexpr duration answer_grace = milliseconds(50); ///< beyond the deadline, for an answer that is on its way
constexpr duration cancel_timeout = seconds(1);
constexpr duration health_timeout = seconds(1);

/// A refusal counts only if the searcher states that it has not run the request.
subquery_outcome outcome_of(const http_response& http) {
    if (http.status == status_ok) {
        return subquery_outcome::answered;
    }
    if (decode_run_state(http.body) != run_state::no) {
        return subquery_outcome::failed;
    }
    switch (http.status) {
    case 409:
        return subquery_outcome::snapshot_not_held;
    case 410:
        return subquery_outcome::shard_not_held;
    case 503:
        return subquery_outcome::not_run_shed;
    default:
        return subquery_outcome::failed;
    }
}

upstream_answer to_answer(const http_response& http) {
    upstream_answer answer;
    answer.bytes_sent = http.sent;
    answer.connection_reset = http.reset;
    answer.boot_id = http.header("x-boot-id");
    answer.state = find_upstream_state(http.header("x-state"));
    answer.detail = http.detail;
    if (http.status == 0) {
        return answer;
    }
    answer.completed = true;
    answer.outcome = outcome_of(http);
    if (answer.outcome == subquery_outcome::answered) {
        const auto decoded = decode_search_answer(http.body, answer);
        if (!decoded) {
            answer.outcome = subquery_outcome::failed;
            answer.detail = decoded.error().detail;
        }
    } else {
        answer.detail = "the searcher answered " + std::to_string(http.status);
    }
    return answer;
}

http_request to_http(const owner_action::dispatch& action, duration remaining) {
    const bool effect = !action.idempotency_key.empty();
    http_request request;
    request.method = "POST";
    request.url = "http://" + action.address + (effect ? "/effect" : "/search");
    request.headers = {
        "Content-Type: application/json",
        "X-Request-Id: " + action.request_id,
        "X-Shard: " + std::to_string(action.shard),
        "X-Snapshot: " + std::to_string(action.snapshot),
        "X-Deadline-Ms: " + std::to_string(std::max<std::int64_t>(1, to_ms(remaining))),
    };
    if (effect) {
        request.headers.push_back("Idempotency-Key: " + action.idempotency_key);
        request.never_resend = true;
    }
    request.body = encode_search_body(action.query_json, action.limit);
    request.timeout = remaining + answer_grace;
    return request;
}

} // namespace

owner_runner::owner_runner(event_loop& loop, http_client& http, metrics& measured, const std::string& self,
                           owner_options options)
    : loop_(loop)
    , http_(http)
    , measured_(measured)
    , owner_(self, options)
    , timer_(loop, [this] { handle(owner_event::time_passed{}); }) {}

void owner_runner::serve(peer_server& server) {
    server.serve("subqueries",
                 [this](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
                     serve_batch(body, responder);
                 });
    server.serve("cancel", [this](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
        const auto decoded = decode_subquery_cancel(body);
        if (decoded) {
            cancel(decoded.value());
        } else {
            measured_.count("peer_messages_rejected");
        }
        responder->finish();
    });
    server.serve("status",
                 [this](const std::string& group, const std::shared_ptr<peer_responder>& responder) {
                     responder->send(encode(owner_.status(group)));
                     responder->finish();
                 });
}

void owner_runner::serve_batch(const std::string& body, const std::shared_ptr<peer_responder>& responder) {
    auto decoded = decode_subquery_batch(body);
    if (!decoded) {
        // Ends without a reply frame: the coordinator counts every subquery of it as failed.
        measured_.count("peer_messages_rejected");
        responder->finish();
        return;
    }
    const auto stream =
        submit(std::move(decoded.value()), [responder](const subquery_reply& reply, bool last) {
            responder->send(encode(reply));
            if (last) {
                responder->finish();
            }
        });
    responder->on_withdrawn([this, stream] { close(stream); });
}

stream_id owner_runner::submit(subquery_batch batch, reply_sink on_reply) {
    const auto stream = ++last_stream_;
    streams_[stream] = {batch.coordinator, batch.query, std::move(on_reply)};
    streams_of_query_[{batch.coordinator, batch.query}].push_back(stream);
    handle(owner_event::batch_arrived{stream, std::move(batch)});
    return stream;
}

void owner_runner::cancel(const subquery_cancel& cancel) {
    const auto it = streams_of_query_.find({cancel.coordinator, cancel.query});
    if (it == streams_of_query_.end()) {
        return;
    }
    const auto streams = it->second;
    for (const auto stream : streams) {
        handle(owner_event::cancel_arrived{stream, cancel});
    }
}

void owner_runner::close(stream_id stream) {
    if (streams_.count(stream) == 0) {
        return;
    }
    forget(stream);
    handle(owner_event::stream_closed{stream});
}

void owner_runner::forget(stream_id stream) {
    const auto it = streams_.find(stream);
    if (it == streams_.end()) {
        return;
    }
    const auto of_query = streams_of_query_.find({it->second.coordinator, it->second.query});
    if (of_query != streams_of_query_.end()) {
        std::erase(of_query->second, stream);
        if (of_query->second.empty()) {
            streams_of_query_.erase(of_query);
        }
    }
    streams_.erase(it);
}

void owner_runner::set_configuration(std::shared_ptr<const configuration> config) {
    owner_.set_configuration(std::move(config), loop_.now());
    handle(owner_event::time_passed{});
}

void owner_runner::set_owned(const std::vector<std::string>& searchers, bool handed_over) {
    std::vector<owner_output> actions;
    owner_.set_owned(searchers, handed_over, loop_.now(), actions);
    apply(actions);
}

void owner_runner::handle(owner_input event) {
    std::vector<owner_output> actions;
    owner_.handle(std::move(event), loop_.now(), actions);
    apply(actions);
}

void owner_runner::apply(std::vector<owner_output>& actions) {
    for (auto& it : actions) {
        std::visit([this](auto& action) { perform(action); }, it);
    }
    timer_.set(owner_.next_wakeup());
}

void owner_runner::perform(owner_action::dispatch& action) {
    send(action);
}

void owner_runner::send(const owner_action::dispatch& action) {
    const auto now = loop_.now();
    const auto id = action.id;
    if (!owner_.may_send(action.searcher, now) || now >= action.deadline) {
        upstream_answer refused;
        refused.outcome = subquery_outcome::not_run_refused;
        refused.bytes_sent = false;
        refused.detail = "the lease or the deadline had passed before it was sent";
        loop_.post([this, id, refused] { handle(owner_event::upstream_answered{id, refused}); });
        return;
    }
    http_.send(to_http(action, action.deadline - now), [this, id, now](const http_response& http) {
        measured_.observe("upstream_seconds", {}, loop_.now() - now);
        handle(owner_event::upstream_answered{id, to_answer(http)});
    });
}

void owner_runner::perform(owner_action::cancel_dispatch& action) {
    http_request request;
    request.method = "DELETE";
    request.url = "http://" + action.address + "/search/" + percent_encoded(action.request_id);
    request.timeout = cancel_timeout;
    measured_.count("upstream_cancels");
    http_.send(std::move(request), [](const http_response&) {});
}

void owner_runner::perform(owner_action::send_reply& action) {
    const auto it = streams_.find(action.stream);
    if (it == streams_.end()) {
        return;
    }
    const auto on_reply = it->second.on_reply;
    if (action.last) {
        forget(action.stream);
    }
    on_reply(std::move(action.reply), action.last);
}

void owner_runner::perform(owner_action::poll_health& action) {
    http_request request;
    request.url = "http://" + action.address + "/health";
    request.timeout = health_timeout;
    http_.send(std::move(request), [this, name = action.searcher](const http_response& http) {
        upstream_health health;
        if (http.status == status_ok) {
            if (auto decoded = decode_health(http.body)) {
                health = std::move(decoded.value());
            }
        }
        handle(owner_event::health_arrived{name, std::move(health)});
    });
}

} // namespace skylarkseam
