// The decision logic of a coordinator. For each query it selects one snapshot, scatters subqueries to the
// owners, hedges and retries within a budget, merges the replies, and reports which shards are merged.
#pragma once

#include <skylarkseam/core/ownership.hpp>
#include <skylarkseam/core/query.hpp>

#include <memory>
#include <optional>
#include <variant>

namespace skylarkseam {

namespace coordinator_event {
struct query_arrived {
    query_id id = 0; ///< Id assigned by the shell in increasing order.
    query_request request;
};
struct caller_disconnected {
    query_id id = 0;
};
struct reply_arrived {
    std::string owner;
    subquery_reply reply;
};
/// The stream of a batch ended before all of its subqueries were replied to.
struct batch_failed {
    std::string owner;
    query_id id = 0;
    std::vector<std::uint32_t> attempts; ///< Attempts without a reply.
    bool sent = false;                   ///< Whether any byte of the batch may have reached the owner.
};
struct status_arrived {
    std::string owner;
    std::vector<searcher_status> searchers;
};
/// Timer event; sent when next_wakeup() is due.
struct time_passed {};
} // namespace coordinator_event

using coordinator_input =
    std::variant<coordinator_event::query_arrived, coordinator_event::caller_disconnected,
                 coordinator_event::reply_arrived, coordinator_event::batch_failed,
                 coordinator_event::status_arrived, coordinator_event::time_passed>;

namespace coordinator_action {
struct send_batch {
    std::string owner;
    subquery_batch batch;
};
struct send_cancel {
    std::string owner;
    subquery_cancel cancel;
};
struct request_status {
    std::string owner;
    std::string group;
};
struct answer_query {
    query_id id = 0;
    result<query_answer> answer;
};
} // namespace coordinator_action

using coordinator_output = std::variant<coordinator_action::send_batch, coordinator_action::send_cancel,
                                        coordinator_action::request_status, coordinator_action::answer_query>;

/// Counters since the start of the node, for metrics and the state dump.
struct coordinator_counters {
    std::uint64_t queries = 0;
    std::uint64_t answered_whole = 0;
    std::uint64_t answered_partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t first_attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Replies that were late, belonged to another request, were duplicates, came from another snapshot or
    /// were malformed.
    std::uint64_t replies_dropped = 0;
    std::uint64_t replans = 0; ///< Number of times a query was restarted on a newer snapshot or shard map.
};

class coordinator {
public:
    /// \param self  name and incarnation of this node, as in subquery_batch::coordinator
    /// \param seed  seed of the random choices, for reproducible tests
    coordinator(std::string self, std::uint64_t seed);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    void set_configuration(std::shared_ptr<const configuration> config, time_point now);
    void set_ownership(std::shared_ptr<const ownership> owners, time_point now);

    /// Processes one event and appends the resulting actions to `out` in execution order.
    void handle(coordinator_input event, time_point now, std::vector<coordinator_output>& out);

    /// Time at which handle(time_passed) is due next, or nothing if no timer is pending.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    [[nodiscard]] std::size_t open_queries() const;
    [[nodiscard]] const coordinator_counters& counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
