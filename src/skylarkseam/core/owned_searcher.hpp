// The owner's state of one searcher: slots, cold ramp, circuit breaker, queue, and the shards and snapshots
// that the searcher holds according to its last health report and later "not held" answers.
#pragma once

#include <skylarkseam/core/circuit_breaker.hpp>
#include <skylarkseam/core/cold_ramp.hpp>
#include <skylarkseam/core/fair_queue.hpp>
#include <skylarkseam/core/latency_jump_detector.hpp>
#include <skylarkseam/core/owner.hpp>

namespace skylarkseam {

/// State of one searcher that this node owns or owned earlier.
/// Invariant: a request is dispatched only while in_flight() < slots_now().
class owned_searcher {
public:
    owned_searcher(std::string name, time_point now);

    /// Applies the searcher's settings. A searcher that returns from the service state "out" starts cold. A
    /// null group means that the searcher is no longer configured.
    void configure(const upstream_group* group, const searcher* settings, const sharing_rule* rule,
                   bool in_service, time_point now);

    void take_over(bool handed_over, time_point now);
    void release_ownership() { owned_ = false; }

    /// Returns whether a new request may be dispatched at `now`, without regard to free slots.
    [[nodiscard]] bool can_dispatch(const authority& granted, time_point now) const;

    /// Returns whether ownership, settings, the searcher's reported state and the authority allow a dispatch.
    /// The circuit breaker is not checked.
    [[nodiscard]] bool can_dispatch_ignoring_breaker(const authority& granted, time_point now) const;

    /// Returns why can_dispatch() is false, for replies; empty if it is true.
    [[nodiscard]] std::string_view refusal_reason(const authority& granted, time_point now) const;

    void on_dispatch(time_point now);

    /// Updates the searcher's state from an answer.
    ///
    /// \param sent  time at which the request was dispatched
    void on_answer(const upstream_answer& answer, time_point sent, time_point now);
    void on_health(const upstream_health& health, time_point now);

    /// Records a "not held" answer to a request for `shard` at `snapshot`. A snapshot of 0 means that the
    /// searcher does not hold the shard at all.
    void on_not_held(shard_id shard, snapshot_id snapshot);

    /// Frees the slot of one dispatched request.
    void release_slot() { --in_flight_; }

    [[nodiscard]] std::uint32_t free_slots() const {
        return in_flight_ >= ramp_.limit() ? 0 : ramp_.limit() - in_flight_;
    }
    [[nodiscard]] std::uint32_t slots_now() const { return ramp_.limit(); }
    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
    [[nodiscard]] bool is_cold() const { return ramp_.cold(); }
    [[nodiscard]] bool owned() const { return owned_; }
    [[nodiscard]] bool takes_work() const { return owned_ && in_service_ && !draining_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] const std::string& group() const { return group_; }
    [[nodiscard]] const circuit_breaker& breaker() const { return breaker_; }
    [[nodiscard]] std::vector<snapshot_id> held(shard_id shard) const;
    [[nodiscard]] searcher_status status() const;
    [[nodiscard]] owned_searcher_view view() const;

    fair_queue queue;
    bool poll_in_flight = false; ///< Whether a health poll is in flight.
    time_point poll_sent_at{};
    time_point next_poll_at{};

private:
    [[nodiscard]] std::string_view refusal_reason_ignoring_breaker(const authority& granted,
                                                                   time_point now) const;
    void on_answered_state(upstream_state state, time_point now);
    void on_health_state(upstream_state state, time_point now);
    void update_boot_id(std::string& last, const std::string& boot_id, time_point now);

    std::string name_;
    std::string address_;
    std::string group_;
    bool owned_ = false;
    bool in_service_ = false;        ///< Whether both the searcher and its zone are in service.
    bool draining_ = false;          ///< Whether the searcher last reported that it is draining.
    time_point drain_reported_at_{}; ///< Time of the last answer that reported draining.
    cold_ramp ramp_;
    circuit_breaker breaker_;
    latency_jump_detector latency_jump_;
    std::uint32_t in_flight_ = 0;
    std::string answer_boot_id_; ///< Boot id in the last answer to a request.
    std::string health_boot_id_; ///< Boot id in the last health report, which may be outdated.
    bool answered_since_poll_ = false;
    /// Shards held by the searcher, in ascending order of shard id.
    std::vector<searcher_status::held_shard> held_shards_;
};

} // namespace skylarkseam
