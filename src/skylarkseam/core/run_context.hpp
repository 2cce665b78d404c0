// Context in which the run of a query handles an event: the state shared by all runs, the time, and the list
// to which the run appends its actions. A run is the execution of one query or effect.
#pragma once

#include <skylarkseam/core/coordinator.hpp>
#include <skylarkseam/core/replica_choice.hpp>

namespace skylarkseam {

/// Collects the subqueries sent during one event into one batch per owner.
class batch_collector {
public:
    /// Returns the owner's batch of this event. A new batch is passed to `start`, which fills in its header.
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

    /// Appends the batches to `out` in the order of their first subqueries, and clears the collector.
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
    std::vector<std::size_t> slots_; ///< Index of each owner's batch, by owner.
    std::vector<coordinator_action::send_batch> batches_;
    std::vector<std::uint32_t> owners_;
};

/// State shared by all runs of a coordinator.
struct shared_run_state {
    std::string self;
    owner_table owners;
    replica_choice replicas;
    batch_collector batches;
    coordinator_counters counters;
    std::map<std::string, std::shared_ptr<group_state>, std::less<>> groups;
    /// Time of the last status request by owner and group.
    std::map<std::pair<std::uint32_t, std::string>, time_point> last_status_request;

    shared_run_state(std::string name, std::uint64_t seed)
        : self(std::move(name))
        , replicas(seed) {}

    /// Requests the status of an owner's searchers in a group, unless the last request is more recent than
    /// `interval`.
    void request_status(std::uint32_t owner, const std::string& group, time_point now,
                        std::vector<coordinator_output>& out, duration interval = milliseconds(20));
};

struct run_context {
    shared_run_state& shared;
    time_point now;
    std::vector<coordinator_output>& out;
};

} // namespace skylarkseam
