#include <skylarkseam/control/assignment.hpp>
#include <skylarkseam/control/epoch_change.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// Assumed deadline of work at searchers that are no longer in the configuration.
constexpr duration unknown_searcher_deadline = seconds(5);

using deadline_table = std::map<std::string, duration, std::less<>>;

deadline_table deadlines_by_searcher(const configuration& config) {
    deadline_table deadlines;
    for (const auto& [name, group] : config.groups) {
        const auto longest = longest_deadline(config, name);
        for (const auto& it : group.searchers) {
            deadlines[it.name] = longest;
        }
    }
    return deadlines;
}

/// Returns whether the same incarnation of the same node owns the searcher before and after the change.
bool same_owner(const ownership& before, const ownership& after, const std::string& searcher) {
    const auto old_owner = before.owner_of.find(searcher);
    const auto new_owner = after.owner_of.find(searcher);
    if (new_owner == after.owner_of.end() || new_owner->second != old_owner->second) {
        return false;
    }
    const auto* old_member = find_member(before.members, old_owner->second);
    const auto* new_member = find_member(after.members, new_owner->second);
    return old_member != nullptr && new_member != nullptr &&
           old_member->incarnation == new_member->incarnation;
}

handover make_handover(const epoch_input& input, const cell_timing& timing, const std::string& searcher,
                       const std::string& former, duration deadline) {
    const auto lease_end = input.latest_heartbeat(former) + lengthened_by_drift(timing, timing.lease);
    const auto lease_rest = std::max(lease_end - input.now, duration::zero());
    const auto* node = find_member(input.current.owners.members, former);
    return {searcher, former, node == nullptr ? 0 : node->incarnation, input.current.owners.epoch + 1,
            lengthened_by_drift(timing, lease_rest + deadline + timing.work_grace)};
}

} // namespace

duration longest_deadline(const configuration& config, std::string_view group) {
    duration longest{};
    for (const auto& [name, it] : config.services) {
        if (it.group == group) {
            longest = std::max(longest, it.deadline);
        }
    }
    return longest;
}

cell_record plan_epoch(const epoch_input& input, const cell_timing& timing) {
    cell_record next;
    next.owners = assign(input.current.owners.epoch + 1, input.members, input.config, input.index.cell,
                         input.index.cells);
    std::ranges::copy_if(input.current.handovers, std::back_inserter(next.handovers), input.may_be_pending);
    const auto deadlines = deadlines_by_searcher(input.config);
    for (const auto& [name, former] : input.current.owners.owner_of) {
        if (same_owner(input.current.owners, next.owners, name)) {
            continue;
        }
        const auto found = deadlines.find(name);
        const auto deadline = found == deadlines.end() ? unknown_searcher_deadline : found->second;
        next.handovers.push_back(make_handover(input, timing, name, former, deadline));
    }
    return next;
}

bool epoch_change_needed(const epoch_input& input) {
    const auto next = assign(0, input.members, input.config, input.index.cell, input.index.cells);
    return next.members != input.current.owners.members || next.owner_of != input.current.owners.owner_of;
}

} // namespace skylarkseam
