// Binary heap of timers. Entries are not removed before they are due; the caller of pop_due() checks whether
// the entry still applies.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <algorithm>
#include <optional>
#include <vector>

namespace skylarkseam {

/// Priority queue of entries by time, earliest first.
template <typename Entry>
class timer_heap {
public:
    void add(time_point when, Entry entry) {
        heap_.push_back({when, std::move(entry)});
        std::push_heap(heap_.begin(), heap_.end(), later);
    }

    [[nodiscard]] std::optional<time_point> next() const {
        if (heap_.empty()) {
            return std::nullopt;
        }
        return heap_.front().when;
    }

    /// Removes and returns the earliest entry if it is due at `now`.
    std::optional<Entry> pop_due(time_point now) {
        if (heap_.empty() || heap_.front().when > now) {
            return std::nullopt;
        }
        std::pop_heap(heap_.begin(), heap_.end(), later);
        std::optional<Entry> entry(std::move(heap_.back().entry));
        heap_.pop_back();
        return entry;
    }

    [[nodiscard]] std::size_t size() const { return heap_.size(); }

private:
    struct node {
        time_point when;
        Entry entry;
    };
    static bool later(const node& a, const node& b) { return a.when > b.when; }

    std::vector<node> heap_;
};

} // namespace skylarkseam
