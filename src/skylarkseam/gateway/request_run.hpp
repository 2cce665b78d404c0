// State of one client request: its parts, and the attempts for each part.
#pragma once

#include <skylarkseam/gateway/directory.hpp>
#include <skylarkseam/gateway/exchange.hpp>
#include <skylarkseam/gateway/routing.hpp>

#include <memory>
#include <vector>

namespace skylarkseam {

/// A request of which nothing was sent waits at most 1/5 of its objective for a free connection slot. If it
/// is refused then, its client still has time to try another host.
constexpr std::int64_t wait_objective_divisor = 5;

enum class part_state {
    waiting,  ///< No searcher had a free connection slot yet.
    sent,     ///< At least one attempt is open.
    refused,  ///< The searcher refused the part; a retry is decided together with the other parts.
    deferred, ///< Waits for an attempt at another part, because the request may crash searchers.
    answered,
    failed,
};

/// One shard's part of a request; a request to a single service has exactly one part.
struct request_part {
    struct open_attempt {
        attempt_id id = 0;
        known_searcher_ptr target;
        time_point sent{};
        time_point hedge_at{}; ///< Time at which a hedged request may be sent.
        bool may_run = true;   ///< False while the connection is being opened.
        /// True if the request was suspected of crashing searchers when the attempt was sent.
        bool suspected = false;
    };

    std::string service;
    part_state state = part_state::waiting;
    std::vector<open_attempt> open;
    std::vector<const known_searcher*> tried; ///< Searchers that an attempt reached or may have reached.
    std::uint32_t failed_connections = 0;     ///< Number of attempts whose connection failed.
    /// True if an attempt was sent and no searcher reported that it did not run.
    bool may_have_run = false;
    bool probing = false;      ///< True if the only attempt is a probe of a faulty searcher.
    bool extra_denied = false; ///< True if the retry budget denied an extra attempt for this part.
    refusal_reason reason = refusal_reason::no_searcher; ///< Reason of the failure if the part failed.
    searcher_response response; ///< Answer of the part, or a searcher's own error response.
    bool has_response = false;
};

/// Invariant: the routing table outlives the run, so all parts use the same version of the configuration.
struct request_run {
    request_token token = 0;
    std::string id;
    std::string fingerprint;
    std::shared_ptr<const routing_table> table;
    const gateway_route* route = nullptr;
    time_point arrived{};
    time_point objective_end{}; ///< Time up to which a partial answer waits for more parts.
    /// Time up to which the request or one of its parts may wait for a free connection slot.
    time_point wait_deadline{};
    /// True if nothing was sent because too few parts have a searcher with a free connection slot.
    bool held = false;
    std::vector<std::size_t> held_for; ///< The parts whose services had no free connection slot then.
    duration expected_wait{};          ///< Expected wait for a free connection slot, as last computed.
    /// Time after which searchers that are backing off take requests again; 0 if none was the reason of a
    /// failed part.
    duration searchers_back_in{};
    time_point deadline{};
    std::uint32_t losses = 0;       ///< Number of attempts that lost their connections.
    bool relayed = false;           ///< True if another host passed the request on.
    std::uint32_t max_attempts = 1; ///< Number of searchers that may get a part.
    /// True once a searcher has answered, so the request does not crash each searcher that runs it.
    bool harmless = false;
    std::vector<request_part> parts;
    std::uint32_t attempts = 0;
    std::uint32_t extra_attempts = 0;
    std::string last_fault;

    [[nodiscard]] const shard_set* shards() const { return std::get_if<shard_set>(&route->plan); }
    [[nodiscard]] std::size_t count(part_state state) const;
    /// Number of parts that are answered or may still be.
    [[nodiscard]] std::size_t answerable() const;
    [[nodiscard]] bool may_have_run() const;
    /// Minimum number of parts in a successful answer.
    [[nodiscard]] std::size_t required_parts() const;
    [[nodiscard]] std::string missing_services() const;
    [[nodiscard]] request_summary summary(time_point now) const;
};

} // namespace skylarkseam
