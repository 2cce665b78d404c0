// Merges the hits of a query's replies and keeps the best of them, without duplicate ids.
#pragma once

#include <skylarkseam/core/subquery.hpp>

namespace skylarkseam {

/// Whether hit `a` precedes hit `b` in an answer.
[[nodiscard]] inline bool ranks_before(const hit& a, const hit& b) {
    return a.score != b.score ? a.score > b.score : a.id < b.id;
}

/// Whether all scores are finite. A reply with a non-finite score is malformed, since it cannot be ranked.
[[nodiscard]] bool well_formed(const std::vector<hit>& hits);

/// Invariant: the hits are ranked, their number is at most `limit`, and their ids are unique.
class top_hits {
public:
    explicit top_hits(std::uint32_t limit = 0)
        : limit_(limit) {}

    /// Merges the hits of one reply, which may be unsorted.
    void merge(std::vector<hit>&& hits);

    [[nodiscard]] std::vector<hit> take() { return std::move(hits_); }

private:
    void insert(hit&& it);

    std::uint32_t limit_;
    std::vector<hit> hits_;
};

} // namespace skylarkseam
