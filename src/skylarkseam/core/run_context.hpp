// What the run of one query may use while it handles an event: the time, the node's shared state, and the
// actions that it appends.
#pragma once

#include <skylarkseam/core/coordinator.hpp>
#include <skylarkseam/core/replica_choice.hpp>

namespace skylarkseam {

/// Collects the subqueries that one event sends, one batch for each owner.
class batch_collector {
public:
    /// The batch for an owner in this event; `start` fills a new one's header.
    template <typename Start>
    subquery_batch& batch_for(std::uint32_t owner, const std::string& name, Start&& start) {
        if (slots_.size() <= owner) {
            slots_.resize(owner + 1, empty);
        }
        if (slots_[owner] == empty) {
            slots_[owner] = batches_.size();
            batches_.push_back({name, {}});
            owners_.push_back(owner);
            start(batches_.back().batch);
        }
        return batches_[slots_[owner]].batch;
    }

    /// Appends the batches in the order of their first subqueries.
    void flush(std::vector<coordinator_output>& out) {
        for (auto& it : batches_) {
            out.emplace_back(std::move(it));
        }
        for (const auto owner : owners_) {
            slots_[owner] = empty;
        }
        batches_.clear();
        owners_.clear();
    }

private:
    static constexpr std::size_t empty = SIZE_MAX;
    std::vector<std::size_t> slots_; ///< by owner: the index of its batch
    std::vector<coordinator_action::send_batch> batches_;
    std::vector<std::uint32_t> owners_;
};

/// State that all runs of a coordinator share.
struct run_services {
    std::string self;
    owner_table owners;
    replica_choice replicas;
    batch_collector batches;
    coordinator_counters counters;
    std::map<std::string, std::shared_ptr<group_state>, std::less<>> groups;
    std::map<std::pair<std::uint32_t, std::string>, time_point> status_asked; ///< by owner and group

    run_services(std::string name, std::uint64_t seed)
        : self(std::move(name))
        , replicas(seed) {}

    /// Asks an owner for what its searchers of a group hold, unless it was asked within `interval`.
    void request_status(std::uint32_t owner, const std::string& group, time_point now,
                        std::vector<coordinator_output>& out, duration interval = milliseconds(20));
};

struct run_context {
    run_services& services;
    time_point now;
    std::vector<coordinator_output>& out;
};

} // namespace skylarkseam
