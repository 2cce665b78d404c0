// The merge: keeps the best hits of all replies merged so far, each id once.
#pragma once

#include <skylarkseam/core/subquery.hpp>

namespace skylarkseam {

/// Whether a hit goes before another in an answer.
[[nodiscard]] inline bool ranks_before(const hit& a, const hit& b) {
    return a.score != b.score ? a.score > b.score : a.id < b.id;
}

/// Whether every score can be ordered; a reply with one that cannot is of the wrong shape.
[[nodiscard]] bool well_formed(const std::vector<hit>& hits);

/// Invariant: hits are ranked, at most `limit`, and no id stands twice.
class top_hits {
public:
    explicit top_hits(std::uint32_t limit = 0)
        : limit_(limit) {}

    /// Takes the hits of one reply, ranked or not.
    void merge(std::vector<hit>&& hits);

    [[nodiscard]] std::vector<hit> take() { return std::move(hits_); }

private:
    void insert(hit&& it);

    std::uint32_t limit_;
    std::vector<hit> hits_;
};

} // namespace skylarkseam
