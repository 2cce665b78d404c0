// One searcher as its owner holds it: its slots, cold ramp, breaker, queue and what it was last seen to hold.
#pragma once

#include <skylarkseam/core/circuit_breaker.hpp>
#include <skylarkseam/core/cold_ramp.hpp>
#include <skylarkseam/core/fair_queue.hpp>
#include <skylarkseam/core/latency_jump_detector.hpp>
#include <skylarkseam/core/owner.hpp>

namespace skylarkseam {

/// Invariant: a request is dispatched only while in_flight() < slots_now().
class owned_searcher {
public:
    owned_searcher(std::string name, time_point now);

    /// Takes its settings; one that comes back from "out" starts cold. Null group: no longer configured.
    void configure(const upstream_group* group, const searcher* settings, const sharing_rule* rule,
                   bool may_take_work, time_point now);

    void take_over(bool handed_over, time_point now);
    void give_up() { owned_ = false; }

    /// Whether new work may be dispatched at `now`, leaving aside free slots.
    [[nodiscard]] bool admits(const authority& held, time_point now) const;

    /// Ownership, settings, the searcher's own state and authority; not the breaker.
    [[nodiscard]] bool permits(const authority& held, time_point now) const;

    /// Why admits() is false, for replies.
    [[nodiscard]] std::string_view refusal(const authority& held, time_point now) const;

    void on_dispatch(time_point now);

    /// Takes what an answer says of the searcher. \param sent  when its dispatch was sent
    void on_answer(const upstream_answer& answer, time_point sent, time_point now);
    void on_health(const upstream_health& health, time_point now);

    /// A request for `shard` at `snapshot` was answered "not held"; 0: the searcher does not hold the shard.
    void note_not_held(shard_id shard, snapshot_id snapshot);

    /// The slot of a dispatch is free again.
    void release_slot() { --in_flight_; }

    [[nodiscard]] std::uint32_t free_slots() const {
        return in_flight_ >= ramp_.limit() ? 0 : ramp_.limit() - in_flight_;
    }
    [[nodiscard]] std::uint32_t slots_now() const { return ramp_.limit(); }
    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
    [[nodiscard]] bool slots_are_cold() const { return ramp_.cold(); }
    [[nodiscard]] bool owned() const { return owned_; }
    [[nodiscard]] bool takes_work() const { return owned_ && configured_in_ && !draining_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] const std::string& group() const { return group_; }
    [[nodiscard]] const breaker& circuit() const { return breaker_; }
    [[nodiscard]] std::vector<snapshot_id> held(shard_id shard) const;
    [[nodiscard]] searcher_status status() const;
    [[nodiscard]] owned_searcher_view view() const;

    fair_queue queue;
    bool poll_open = false; ///< a health poll is under way
    time_point poll_sent{};
    time_point next_poll{};

private:
    [[nodiscard]] std::string_view missing_permission(const authority& held, time_point now) const;
    void note_answered_state(upstream_state state, time_point now);
    void note_health_state(upstream_state state, time_point now);
    void note_boot_id(std::string& last, const std::string& boot_id, time_point now);

    std::string name_;
    std::string address_;
    std::string group_;
    bool owned_ = false;
    bool configured_in_ = false; ///< neither it nor its zone is out
    bool draining_ = false;      ///< as it says itself
    time_point drain_stated_{};  ///< when an answer last said so
    cold_ramp ramp_;
    breaker breaker_;
    latency_jump latency_;
    std::uint32_t in_flight_ = 0;
    std::string answered_boot_id_; ///< as the last answer stated it
    std::string health_boot_id_;   ///< as the health endpoint stated it; lags
    bool answered_since_poll_ = false;
    std::vector<searcher_status::held_shard> held_; ///< by shard, ascending
};

} // namespace skylarkseam
