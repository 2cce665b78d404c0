// The owner's decisions: holds the only slots of the searchers that this node owns, queues fairly between
// callers, dispatches within slots, cold limits and authority, and puts cold searchers back to work by steps.
#pragma once

#include <skylarkseam/core/ownership.hpp>
#include <skylarkseam/core/query.hpp>

#include <memory>
#include <optional>
#include <variant>

namespace skylarkseam {

using stream_id = std::uint64_t;   ///< a coordinator's open batch, given by the shell
using dispatch_id = std::uint64_t; ///< one request to a searcher

/// The state that a searcher states of itself; it lags or misleads.
enum class upstream_state { cold, warm, draining };

[[nodiscard]] std::string_view name_of(upstream_state state);
[[nodiscard]] std::optional<upstream_state> find_upstream_state(std::string_view name);

/// A searcher's answer to one dispatch, decoded and checked for shape by the shell.
struct upstream_answer {
    subquery_outcome outcome = subquery_outcome::failed;
    bool bytes_sent = true; ///< false: the connection failed before any byte of the request was sent
    bool connection_reset = false;
    bool completed = false;   ///< a failed one: the searcher ended its answer, though it cannot be used;
                              ///< false: it may still be running the request, so its slot stays taken
    std::string request_id;   ///< echoed by the searcher
    shard_id shard = 0;       ///< echoed by the searcher
    snapshot_id snapshot = 0; ///< echoed by the searcher
    std::string boot_id;      ///< empty: not given
    std::optional<upstream_state> state;
    std::vector<hit> hits;
    std::string detail;
};

/// A searcher's answer to GET /health.
struct upstream_health {
    bool reachable = false;
    upstream_state state = upstream_state::cold;
    std::string boot_id;
    std::vector<searcher_status::held_shard> shards;
};

namespace owner_event {
struct batch_arrived {
    stream_id stream = 0;
    subquery_batch batch;
};
struct cancel_arrived {
    stream_id stream = 0;
    subquery_cancel cancel;
};
/// The coordinator has gone: everything of the stream is cancelled.
struct stream_closed {
    stream_id stream = 0;
};
struct upstream_answered {
    dispatch_id id = 0;
    upstream_answer answer;
};
struct health_arrived {
    std::string searcher;
    upstream_health health;
};
struct time_passed {};
} // namespace owner_event

using owner_input =
    std::variant<owner_event::batch_arrived, owner_event::cancel_arrived, owner_event::stream_closed,
                 owner_event::upstream_answered, owner_event::health_arrived, owner_event::time_passed>;

namespace owner_action {
struct dispatch {
    dispatch_id id = 0;
    std::string searcher;
    std::string address;    ///< ip:port
    std::string request_id; ///< unique for each attempt, over all nodes
    shard_id shard = 0;
    snapshot_id snapshot = 0;
    time_point deadline{};
    std::string query_json;
    std::uint32_t limit = 0;
    std::string idempotency_key; ///< not empty: POST /effect, never sent twice
};
/// Asks the searcher to stop; its slot stays taken until the dispatch is answered or its deadline has passed.
struct cancel_dispatch {
    dispatch_id id = 0;
    std::string address;
    std::string request_id;
};
struct send_reply {
    stream_id stream = 0;
    subquery_reply reply;
    bool last = false; ///< every subquery of the stream has been replied to
};
struct poll_health {
    std::string searcher;
    std::string address;
};
} // namespace owner_action

using owner_output = std::variant<owner_action::dispatch, owner_action::cancel_dispatch,
                                  owner_action::send_reply, owner_action::poll_health>;

/// One searcher as the state dump shows it.
struct owned_searcher_view {
    std::string searcher;
    std::string group;
    bool takes_work = false;
    bool cold = true;
    std::uint32_t slots_now = 0;
    std::uint32_t slots_full = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::string boot_id;
    std::string last_reason; ///< why the limit is what it is
};

/// Counts since the start, for metrics and the state dump.
struct owner_counters {
    std::uint64_t dispatched = 0;
    std::uint64_t refused = 0;         ///< before dispatch, so not run
    std::uint64_t late_answers = 0;    ///< to dispatches whose slot was released before
    std::uint64_t crossed_answers = 0; ///< that belong to another request
};

/// What a node's settings say of its part as owner.
struct owner_options {
    duration health_poll = milliseconds(500); ///< between two polls of a searcher's health
    std::uint32_t queue_length = 256;         ///< subqueries of one caller that wait for one searcher
};

class owner {
public:
    explicit owner(std::string self, owner_options options = {});
    ~owner();
    owner(const owner&) = delete;
    owner& operator=(const owner&) = delete;

    void set_configuration(std::shared_ptr<const configuration> config, time_point now);

    /// The searchers that this node owns from now on. A searcher that is taken on starts cold unless
    /// `handed_over` says that its last owner drained it; one that is given up gets no new work, and its
    /// queue is refused.
    void set_owned(const std::vector<std::string>& searchers, bool handed_over, time_point now,
                   std::vector<owner_output>& out);

    void set_authority(authority value);

    void handle(owner_input event, time_point now, std::vector<owner_output>& out);

    /// Whether a dispatch that was decided may still be sent at `now`; the shell asks immediately before it
    /// writes.
    [[nodiscard]] bool may_send(const std::string& searcher, time_point now) const;

    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// What the node knows of its searchers in a group, for a coordinator that asks.
    [[nodiscard]] std::vector<searcher_status> status(const std::string& group) const;

    [[nodiscard]] std::vector<owned_searcher_view> view() const;
    [[nodiscard]] std::size_t in_flight() const; ///< over all searchers
    [[nodiscard]] std::size_t in_flight(const std::string& searcher) const;
    [[nodiscard]] const owner_counters& counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
