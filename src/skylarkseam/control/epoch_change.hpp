// Plans the next epoch of a cell: its members, the owner of each searcher, and how long new owners wait for
// former owners.
#pragma once

#include <skylarkseam/control/cell_record.hpp>
#include <skylarkseam/control/cell_timing.hpp>
#include <skylarkseam/core/configuration.hpp>

#include <functional>

namespace skylarkseam {

/// Position of a cell among all cells, which selects the searchers that the cell owns.
struct cell_index {
    std::uint32_t cell = 0;
    std::uint32_t cells = 1; ///< Number of cells, at least 1.
};

struct epoch_input {
    const cell_record& current;
    std::vector<member> members; ///< Members of the next epoch.
    const configuration& config;
    cell_index index;
    time_point now{};
    /// Returns the latest time, by the holder's clock, at which the node can have sent a message that renewed
    /// its lease.
    std::function<time_point(const std::string& node)> latest_heartbeat;
    /// Returns whether a new owner may still wait for this handover of an earlier epoch.
    std::function<bool(const handover&)> may_be_pending;
};

/// Returns the record of the next epoch, without holder and token.
[[nodiscard]] cell_record plan_epoch(const epoch_input& input, const cell_timing& timing);

/// Returns whether the next epoch would differ from the current one in members or owners.
[[nodiscard]] bool epoch_change_needed(const epoch_input& input);

/// Returns the longest deadline of any request that may run at searchers of the group.
[[nodiscard]] duration longest_deadline(const configuration& config, std::string_view group);

} // namespace skylarkseam
