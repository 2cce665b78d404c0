#include <skylarkseam/gateway/searcher_polls.hpp>

#include <algorithm>
#include <utility>

namespace skylarkseam {

std::vector<held_searcher_poll> searcher_polls::take_due(const store_replica& known, time_point now) {
    std::vector<held_searcher_poll> due;
    std::erase_if(held_, [&](const auto& it) {
        const bool is_due = now >= it.until || known.has_searchers_after(it.position);
        if (is_due) {
            due.push_back(it);
        }
        return is_due;
    });
    return due;
}

std::vector<held_searcher_poll> searcher_polls::take_all() {
    return std::exchange(held_, {});
}

std::optional<time_point> searcher_polls::next_wakeup() const {
    std::optional<time_point> next;
    for (const auto& it : held_) {
        next = next ? std::min(*next, it.until) : it.until;
    }
    return next;
}

} // namespace skylarkseam
