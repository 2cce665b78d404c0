// Queue of one searcher: deficit round robin between callers by measured cost. Each caller's share of the
// slot time follows its weight, independent of the load from other callers.
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

/// The weights determine each caller's share and the classes determine the order: of the callers with credit
/// in the current round, the caller whose next item has the most urgent class is served first. Within one
/// caller, the lower classes have a guaranteed minimum share. Slots reserved by a caller's floor are not
/// given to other callers.
class fair_queue {
public:
    using item = std::uint32_t; ///< Index of a queued subquery in the owner's subquery table.

    struct caller_state;
    struct dequeued {
        caller_state* caller = nullptr;
        item index = 0;
        duration charged{}; ///< Estimated cost, replaced by the measured cost in on_finished().
    };

    fair_queue();
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// \param rule  sharing rule of the group; null if it has none, which gives all callers the weight 1
    void set_rule(const sharing_rule* rule);

    void push(std::string_view caller, request_class cls, item it);

    /// Removes a queued item; returns false if it is not in the queue.
    bool erase(std::string_view caller, request_class cls, item it);

    /// Removes and returns the next item if a caller with queued items may use one of the `free` of `slots`
    /// slots.
    std::optional<dequeued> pop(std::uint32_t free, std::uint32_t slots);

    /// Records the end of an item from pop(). `cost` is the measured slot time, or 0 if the item was not
    /// sent.
    void on_finished(caller_state* caller, duration charged, duration cost);

    /// Removes and returns all items, in no particular order.
    [[nodiscard]] std::vector<item> drain();

    [[nodiscard]] std::uint32_t queued() const { return queued_; }
    [[nodiscard]] std::uint32_t queued_of(std::string_view caller) const;

    /// Returns the expected wait of a new item of this caller if callers with queued items use all `slots`.
    [[nodiscard]] duration expected_wait(std::string_view caller, request_class cls,
                                         std::uint32_t slots) const;

    /// Returns the moving average (EWMA) of the slot time of finished items; 0 before the first.
    [[nodiscard]] duration mean_cost() const { return duration(static_cast<std::int64_t>(mean_cost_us_)); }

private:
    caller_state& find_or_add(std::string_view caller);
    void activate(caller_state& it);
    void deactivate(caller_state& it);
    [[nodiscard]] caller_state* find_eligible_caller(std::uint32_t free, std::uint32_t slots) const;
    [[nodiscard]] bool may_use_slot(const caller_state& it, std::uint32_t free, std::uint32_t slots) const;
    [[nodiscard]] double quantum_us(const caller_state& it) const;
    [[nodiscard]] double cost_us(const caller_state& it) const;
    bool start_next_round(std::uint32_t free, std::uint32_t slots);
    void remove_idle_callers();

    std::map<std::string, caller_state, std::less<>> callers_;
    std::vector<caller_state*> active_callers_; ///< Callers with queued items, in round-robin order.
    std::uint32_t queued_ = 0;
    std::uint64_t round_ = 1;
    double mean_cost_us_ = 0.0;
};

/// Queues and credit of one caller. Invariant: queued is the sum of the sizes of the class queues.
struct fair_queue::caller_state {
    std::string name;
    bool has_rule = false;
    double weight = 1.0;
    double floor = 0.0;
    /// Credit left in this round; negative after an item took longer than its estimated cost.
    double deficit_us = 0.0;
    double mean_cost_us = 0.0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint64_t last_granted_round = 0; ///< Last round in which the caller received a quantum.
    static constexpr std::size_t class_count = 3;
    std::array<std::deque<item>, class_count> by_class;
    /// Credit that a lower class earns while it has queued items.
    std::array<double, class_count> class_credit_us{};

    [[nodiscard]] std::size_t next_class() const;
};

} // namespace skylarkseam
