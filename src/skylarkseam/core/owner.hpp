// The owner's decisions. The owner of a searcher is the only node that sends it requests. It queues
// subqueries fairly between callers, dispatches them within slots, cold limits and authority, and raises the
// limit of a cold searcher in steps.
#pragma once

#include <skylarkseam/core/ownership.hpp>
#include <skylarkseam/core/query.hpp>

#include <memory>
#include <optional>
#include <variant>

namespace skylarkseam {

using stream_id = std::uint64_t;   ///< Open batch of a coordinator; assigned by the shell.
using dispatch_id = std::uint64_t; ///< One request to a searcher.

/// State that a searcher reports about itself. The report may be outdated or wrong.
enum class upstream_state { cold, warm, draining };

[[nodiscard]] std::string_view name_of(upstream_state state);
[[nodiscard]] std::optional<upstream_state> find_upstream_state(std::string_view name);

/// A searcher's answer to one dispatched request. The shell has decoded it and validated its structure.
struct upstream_answer {
    subquery_outcome outcome = subquery_outcome::failed;
    bool bytes_sent = true; ///< False if the connection failed before any byte of the request was sent.
    bool connection_reset = false;
    /// For a failed request: true if the searcher has finished its answer, although the answer is unusable;
    /// false if the searcher may still run the request, which then keeps its slot.
    bool completed = false;
    std::string request_id;   ///< Request id echoed by the searcher.
    shard_id shard = 0;       ///< Shard echoed by the searcher.
    snapshot_id snapshot = 0; ///< Snapshot echoed by the searcher.
    std::string boot_id;      ///< Boot id of the searcher; empty if the answer has none.
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
/// The coordinator's stream has ended; all subqueries of the stream are cancelled.
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
    std::string address;    ///< Address as ip:port.
    std::string request_id; ///< Unique id of the attempt across all nodes.
    shard_id shard = 0;
    snapshot_id snapshot = 0;
    time_point deadline{};
    std::string query_json;
    std::uint32_t limit = 0;
    std::string idempotency_key; ///< Not empty for an effect: sent as POST /effect and at most once.
};
/// Asks the searcher to stop a request. The request keeps its slot until it is answered or its deadline has
/// passed.
struct cancel_dispatch {
    dispatch_id id = 0;
    std::string address;
    std::string request_id;
};
struct send_reply {
    stream_id stream = 0;
    subquery_reply reply;
    bool last = false; ///< Whether every subquery of the stream now has its reply.
};
struct poll_health {
    std::string searcher;
    std::string address;
};
} // namespace owner_action

using owner_output = std::variant<owner_action::dispatch, owner_action::cancel_dispatch,
                                  owner_action::send_reply, owner_action::poll_health>;

/// State of one searcher in the state dump.
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
    std::string last_reason; ///< Signal that caused the current cold limit, or "warm".
};

/// Counters since the start of the node, for metrics and the state dump.
struct owner_counters {
    std::uint64_t dispatched = 0;
    std::uint64_t refused = 0;      ///< Number of subqueries refused before dispatch and therefore not run.
    std::uint64_t late_answers = 0; ///< Number of answers to requests whose slot was already released.
    std::uint64_t mismatched_answers = 0; ///< Number of answers that belong to another request.
};

/// Node settings for the owner role.
struct owner_options {
    duration health_poll = milliseconds(500); ///< Interval between two health polls of a searcher.
    std::uint32_t queue_length = 256; ///< Maximum number of queued subqueries per caller and searcher.
};

/// State machine of the owner role. It performs no I/O: handle() appends the actions for the shell to `out`.
class owner {
public:
    explicit owner(std::string self, owner_options options = {});
    ~owner();
    owner(const owner&) = delete;
    owner& operator=(const owner&) = delete;

    void set_configuration(std::shared_ptr<const configuration> config, time_point now);

    /// Sets the searchers that this node owns. A newly owned searcher starts cold unless `handed_over` is
    /// true, which means that its previous owner has drained it. A searcher that this node no longer owns
    /// gets no new work, and its queue is refused.
    void set_owned(const std::vector<std::string>& searchers, bool handed_over, time_point now,
                   std::vector<owner_output>& out);

    void set_authority(authority value);

    void handle(owner_input event, time_point now, std::vector<owner_output>& out);

    /// Returns whether a dispatched request may still be sent to the searcher at `now`. The shell calls this
    /// immediately before it writes the request.
    [[nodiscard]] bool may_send(const std::string& searcher, time_point now) const;

    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Returns the status of the node's searchers in a group, for the reply to a coordinator.
    [[nodiscard]] std::vector<searcher_status> status(const std::string& group) const;

    [[nodiscard]] std::vector<owned_searcher_view> view() const;
    [[nodiscard]] std::size_t in_flight() const; ///< Number of requests in flight at all searchers.
    [[nodiscard]] std::size_t in_flight(const std::string& searcher) const;
    [[nodiscard]] const owner_counters& counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
