// Plans the next epoch of a cell: its members, who owns what, and how long new owners wait for former ones.
#pragma once

#include <skylarkseam/control/cell_record.hpp>
#include <skylarkseam/control/cell_timing.hpp>
#include <skylarkseam/core/configuration.hpp>

#include <functional>

namespace skylarkseam {

/// The part of the configuration's searchers that a cell owns.
struct cell_index {
    std::uint32_t cell = 0;
    std::uint32_t cells = 1; ///< 1 or more
};

struct epoch_input {
    const cell_record& current;
    std::vector<member> members; ///< of the next epoch
    const configuration& config;
    cell_index index;
    time_point now{};
    /// The latest time, on the holder's clock, at which a message can have left the node that renewed its
    /// lease.
    std::function<time_point(const std::string& node)> last_heard;
    /// Whether a handover of an earlier epoch may still be waited for.
    std::function<bool(const handover&)> still_waiting;
};

/// The record of the next epoch, without holder and token.
[[nodiscard]] cell_record plan_epoch(const epoch_input& input, const cell_timing& timing);

/// Whether the next epoch would differ in members or owners.
[[nodiscard]] bool epoch_is_due(const epoch_input& input);

/// The longest deadline of any request that may run at searchers of the group.
[[nodiscard]] duration longest_deadline(const configuration& config, std::string_view group);

} // namespace skylarkseam
