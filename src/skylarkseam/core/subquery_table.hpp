// The owner's table of open subqueries: each from its arrival until it has been replied to and its slot is
// free.
#pragma once

#include <skylarkseam/core/fair_queue.hpp>
#include <skylarkseam/core/subquery.hpp>

#include <memory>
#include <vector>

namespace skylarkseam {

class owned_searcher;

/// What all subqueries of one batch have in common.
struct batch_header {
    std::uint64_t stream = 0;
    subquery_batch batch; ///< with its subqueries moved out
    time_point deadline{};
    std::uint32_t unreplied = 0;
    bool malformed_effect = false; ///< an effect with more than one subquery
    bool closed = false;           ///< the coordinator has gone; nothing is sent to it
};

enum class subquery_phase {
    free,    ///< the entry is not in use
    queued,  ///< not dispatched
    running, ///< dispatched: takes a slot
};

/// One subquery. Invariant: a running one takes exactly one slot of its searcher, also after it was replied
/// to.
struct open_subquery {
    subquery_phase phase = subquery_phase::free;
    bool replied = false;
    std::uint32_t generation = 0; ///< tells uses of the same entry apart
    std::shared_ptr<batch_header> header;
    shard_id shard = 0;
    std::uint32_t attempt = 0;
    owned_searcher* searcher = nullptr;
    fair_queue::caller_state* caller = nullptr; ///< while running
    duration charged{};
    time_point queued_at{};
    time_point dispatched_at{};
    std::uint64_t sequence = 0;
};

/// A slab with reuse: an id is the entry's index and generation, so that an old id finds nothing.
class subquery_table {
public:
    using id = std::uint64_t;

    std::uint32_t add() {
        if (free_.empty()) {
            entries_.emplace_back();
            free_.push_back(static_cast<std::uint32_t>(entries_.size() - 1));
        }
        const auto n = free_.back();
        free_.pop_back();
        ++entries_[n].generation;
        return n;
    }

    void release(std::uint32_t n) {
        auto& it = entries_[n];
        const auto generation = it.generation;
        it = open_subquery{};
        it.generation = generation;
        free_.push_back(n);
    }

    [[nodiscard]] open_subquery& at(std::uint32_t n) { return entries_[n]; }

    [[nodiscard]] id id_of(std::uint32_t n) const { return (id{entries_[n].generation} << index_bits) | n; }

    /// The index of a used entry, or `none`.
    [[nodiscard]] std::uint32_t find(id value) const {
        const auto n = static_cast<std::uint32_t>(value);
        const bool found = n < entries_.size() && entries_[n].phase != subquery_phase::free &&
                           entries_[n].generation == static_cast<std::uint32_t>(value >> index_bits);
        return found ? n : none;
    }

    static constexpr std::uint32_t none = UINT32_MAX;

private:
    static constexpr unsigned index_bits = 32;

    std::vector<open_subquery> entries_;
    std::vector<std::uint32_t> free_;
};

} // namespace skylarkseam
