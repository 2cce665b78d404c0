// Wait list for parts of requests, used while all searchers of a service have no free connection slot. Parts
// without which their request fails go before those that only make an answer more complete, then the highest
// priority goes first and, within a priority, the earliest deadline. Every fourth turn goes to the entry that
// has waited longest, so that no priority starves.
#pragma once

#include <skylarkseam/gateway/exchange.hpp>

#include <algorithm>
#include <vector>

namespace skylarkseam {

class wait_list {
public:
    struct entry {
        request_token token = 0;
        std::size_t part = 0;
        std::uint32_t priority = 0;
        time_point arrived{};
        time_point deadline{};
        /// True if nothing of the request is sent without this part or another one that it waits for.
        bool needed = false;
    };

    void add(entry it) { entries_.push_back(it); }

    void remove(request_token token) {
        std::erase_if(entries_, [token](const entry& it) { return it.token == token; });
    }

    [[nodiscard]] bool empty() const { return entries_.empty(); }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    [[nodiscard]] bool contains(request_token token) const {
        return std::any_of(entries_.begin(), entries_.end(),
                           [&](const auto& it) { return it.token == token; });
    }

    /// Number of entries that would be taken before a new one, not counting the turns for the longest wait.
    [[nodiscard]] std::size_t ahead_of(const entry& candidate) const {
        return static_cast<std::size_t>(std::count_if(
            entries_.begin(), entries_.end(), [&](const auto& it) { return !goes_before(candidate, it); }));
    }

    /// Removes and returns the next entry. The list must not be empty.
    entry take() {
        ++turns_taken_;
        const bool take_oldest = turns_taken_ % fairness_interval == 0;
        const auto it = std::min_element(entries_.begin(), entries_.end(), [&](const auto& a, const auto& b) {
            const bool by_age = take_oldest && a.needed == b.needed;
            return by_age ? a.arrived < b.arrived : goes_before(a, b);
        });
        const auto taken = *it;
        entries_.erase(it);
        return taken;
    }

private:
    /// Every fourth turn goes to the entry that has waited longest.
    static constexpr std::uint64_t fairness_interval = 4;

    static bool goes_before(const entry& a, const entry& b) {
        if (a.needed != b.needed) {
            return a.needed;
        }
        return a.priority != b.priority ? a.priority < b.priority : a.deadline < b.deadline;
    }

    std::vector<entry> entries_;
    std::uint64_t turns_taken_ = 0;
};

} // namespace skylarkseam
