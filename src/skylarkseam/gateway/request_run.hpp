// The state of one request of a client: its parts, and the attempts that were made for each.
#pragma once

#include <skylarkseam/gateway/directory.hpp>
#include <skylarkseam/gateway/exchange.hpp>
#include <skylarkseam/gateway/routing.hpp>

#include <memory>
#include <vector>

namespace skylarkseam {

enum class part_state {
    waiting, ///< no searcher had room for it yet
    sent,    ///< at least one attempt is open
    refused, ///< its searcher refused it, and whether to send it again is decided with the other parts
    answered,
    failed,
};

/// One shard's part of a request; a request to one service has exactly one.
struct request_part {
    struct open_attempt {
        attempt_id id = 0;
        known_searcher_ptr target;
        time_point sent{};
        time_point again_at{}; ///< when a second attempt becomes worth it
        bool may_run = true;   ///< false while its connection opens
    };

    std::string service;
    part_state state = part_state::waiting;
    std::vector<open_attempt> open;
    std::vector<const known_searcher*> tried;            ///< that an attempt reached or may have reached
    std::uint32_t unsent = 0;                            ///< attempts whose connection failed
    bool may_have_run = false;                           ///< an attempt was sent that nobody says has not run
    bool probing = false;                                ///< its only attempt is at a searcher with a fault
    bool extra_denied = false;                           ///< the budget had nothing left for it
    refusal_reason reason = refusal_reason::no_searcher; ///< where it failed
    searcher_response response;                          ///< where answered, or a searcher's own failure
    bool has_response = false;
};

/// Invariant: the table outlives the run, so that all parts come from one version of the configuration.
struct request_run {
    request_token token = 0;
    std::string id;
    std::shared_ptr<const routing_table> table;
    const gateway_route* route = nullptr;
    time_point arrived{};
    time_point objective_at{}; ///< until when a partial answer waits for more parts
    time_point wait_until{};   ///< until when it or one of its parts may wait for room
    bool held = false;         ///< nothing was sent: too few of its parts have room
    duration backlog{};        ///< what it would have to wait, when that was last looked at
    time_point deadline{};
    std::vector<request_part> parts;
    std::uint32_t attempts = 0;
    std::uint32_t extra_attempts = 0;
    std::string last_fault;

    [[nodiscard]] const shard_set* shards() const { return std::get_if<shard_set>(&route->plan); }
    [[nodiscard]] std::size_t count(part_state state) const;
    /// Parts that may still be answered.
    [[nodiscard]] std::size_t hopeful() const;
    [[nodiscard]] bool may_have_run() const;
    /// Fewest parts that a success has to hold.
    [[nodiscard]] std::size_t least_parts() const;
    [[nodiscard]] std::string missing_services() const;
    [[nodiscard]] request_summary summary(time_point now) const;
};

} // namespace skylarkseam
