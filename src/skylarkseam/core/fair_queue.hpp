// The queue in front of one searcher: deficit round robin between callers by measured cost, so that a caller
// gets its weight's part whatever the others send.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Weights decide how much each caller gets, classes decide the order: among callers with credit left in the
/// current round, the one whose next item has the most urgent class goes first. Within a caller the lower
/// classes have a guaranteed minimum share. Slots that a caller's floor keeps are not given to others.
class fair_queue {
public:
    using item = std::uint32_t; ///< the owner's index of a queued subquery

    struct caller_state;
    struct taken {
        caller_state* caller = nullptr;
        item it = 0;
        duration charged{}; ///< estimated cost, settled by finished()
    };

    fair_queue();
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// \param rule  the group's rule; null where there is none: all callers have weight 1
    void set_rule(const sharing_rule* rule);

    void push(std::string_view caller, request_class cls, item it);

    /// Takes an item out before it was started; false if it is not queued.
    bool erase(std::string_view caller, request_class cls, item it);

    /// Takes the next item, if a caller with work may use one of `free` out of `slots`.
    std::optional<taken> pop(std::uint32_t free, std::uint32_t slots);

    /// An item from pop() has ended; `cost` is the measured slot time, 0 if it was never sent.
    void finished(caller_state* caller, duration charged, duration cost);

    /// Takes out everything, in no particular order.
    [[nodiscard]] std::vector<item> drain();

    [[nodiscard]] std::uint32_t queued() const { return queued_; }
    [[nodiscard]] std::uint32_t queued_of(std::string_view caller) const;

    /// How long a new item of this caller would wait with `slots` in use by backlogged callers.
    [[nodiscard]] duration expected_wait(std::string_view caller, request_class cls,
                                         std::uint32_t slots) const;

    /// Mean slot time of all that has ended; 0 before the first.
    [[nodiscard]] duration mean_cost() const { return duration(static_cast<std::int64_t>(mean_cost_us_)); }

private:
    caller_state& find_or_add(std::string_view caller);
    void activate(caller_state& it);
    void deactivate(caller_state& it);
    [[nodiscard]] caller_state* find_with_credit(std::uint32_t free, std::uint32_t slots) const;
    [[nodiscard]] bool may_use_slot(const caller_state& it, std::uint32_t free, std::uint32_t slots) const;
    [[nodiscard]] double quantum_us(const caller_state& it) const;
    [[nodiscard]] double cost_us(const caller_state& it) const;
    bool start_next_round(std::uint32_t free, std::uint32_t slots);
    void forget_idle_callers();

    std::map<std::string, caller_state, std::less<>> callers_;
    std::vector<caller_state*> ring_; ///< callers with queued items, in the order of turns
    std::uint32_t queued_ = 0;
    std::uint64_t round_ = 1;
    double mean_cost_us_ = 0.0;
};

/// One caller's part. Invariant: queued is the sum of the class queues' sizes.
struct fair_queue::caller_state {
    std::string name;
    bool in_rule = false;
    double weight = 1.0;
    double floor = 0.0;
    double deficit_us =
        0.0; ///< what it may still use in this round; negative after costlier work than charged
    double mean_cost_us = 0.0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint64_t granted_round = 0; ///< the last round that gave it a quantum
    static constexpr std::size_t class_count = 3;
    std::array<std::deque<item>, class_count> by_class;
    std::array<double, class_count> class_credit_us{}; ///< earned by a waiting lower class

    [[nodiscard]] std::size_t next_class() const;
};

} // namespace skylarkseam
