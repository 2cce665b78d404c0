// Pending timers of a state machine: at most one per key, ordered by time.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace skylarkseam {

/// Invariant: each key is in both `when_` and `order_`, with the same time, or in neither.
template <typename Key>
class timer_set {
public:
    /// Sets the timer of the key and replaces its earlier timer, if any.
    void schedule(const Key& key, time_point when) {
        cancel(key);
        when_[key] = when;
        order_.emplace(when, key);
    }

    void cancel(const Key& key) {
        const auto it = when_.find(key);
        if (it == when_.end()) {
            return;
        }
        order_.erase({it->second, key});
        when_.erase(it);
    }

    [[nodiscard]] std::optional<time_point> next() const {
        return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
    }

    /// Removes and returns the keys whose timers have expired, earliest first.
    std::vector<Key> take_due(time_point now) {
        std::vector<Key> due;
        while (!order_.empty() && order_.begin()->first <= now) {
            due.push_back(order_.begin()->second);
            cancel(due.back());
        }
        return due;
    }

private:
    std::map<Key, time_point> when_;
    std::set<std::pair<time_point, Key>> order_;
};

} // namespace skylarkseam
