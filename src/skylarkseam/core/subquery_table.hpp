// The owner's table of open subqueries. A subquery is open from its arrival until its reply is sent and its
// slot is released.
#pragma once

#include <skylarkseam/core/fair_queue.hpp>
#include <skylarkseam/core/subquery.hpp>

#include <memory>
#include <vector>

namespace skylarkseam {

class owned_searcher;

/// State shared by all subqueries of one batch.
struct batch_header {
    std::uint64_t stream = 0;
    subquery_batch batch; ///< The received batch without its subqueries.
    time_point deadline{};
    std::uint32_t unreplied = 0;
    bool malformed_effect = false; ///< Whether the batch is an effect with more than one subquery.
    bool closed = false;           ///< Whether the coordinator is gone; no replies are sent to it then.
};

enum class subquery_phase {
    free,    ///< Unused entry.
    queued,  ///< Waiting for dispatch.
    running, ///< Dispatched; occupies a slot.
};

/// An open subquery. Invariant: a running subquery occupies exactly one slot of its searcher, even after its
/// reply is sent.
struct open_subquery {
    subquery_phase phase = subquery_phase::free;
    bool replied = false;
    std::uint32_t generation = 0; ///< Distinguishes successive uses of the same entry.
    std::shared_ptr<batch_header> header;
    shard_id shard = 0;
    std::uint32_t attempt = 0;
    owned_searcher* searcher = nullptr;
    fair_queue::caller_state* caller = nullptr; ///< Caller to which the slot is charged; set while running.
    duration charged{};
    time_point queued_at{};
    time_point dispatched_at{};
    std::uint64_t sequence = 0;
};

/// A slab allocator. An id consists of the entry's index and generation, so that a stale id is not found.
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

    /// Returns the index of the entry if it is in use, or `none`.
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
