// State machine of one node in its cell: takes part in renewing the cell's record in the platform, and
// derives from the record the members, the searchers that this node serves, and how long it may serve them.
// The member that renews the record is the cell's holder.
#pragma once

#include <skylarkseam/control/cell_message.hpp>
#include <skylarkseam/control/cell_timing.hpp>
#include <skylarkseam/control/epoch_change.hpp>
#include <skylarkseam/control/platform_call.hpp>

#include <memory>
#include <set>

namespace skylarkseam {

/// Object kind of cell records in the platform.
constexpr std::string_view cell_kind = "cells";

namespace cell_event {
/// Answer of the platform to a read or write of the cell's record.
struct platform_answered {
    platform_call_id call = 0;
    platform_status status = platform_status::unavailable;
    bool not_sent = false;
    record_version version = 0;
    std::optional<cell_record> record; ///< Record, if the status is ok and the record can be decoded.
};
/// Hosts that the platform lists.
struct hosts_listed {
    std::set<std::string> hosts;
};
struct message_arrived {
    cell_envelope message;
};
struct configuration_changed {
    std::shared_ptr<const configuration> config;
};
/// Notice that no work of this node is left at a searcher that it stopped serving.
struct searcher_drained {
    std::string searcher;
};
/// Request that this node leave the cell and hand its searchers over to other members.
struct leave_requested {};
struct time_passed {};
} // namespace cell_event

using cell_input =
    std::variant<cell_event::platform_answered, cell_event::hosts_listed, cell_event::message_arrived,
                 cell_event::configuration_changed, cell_event::searcher_drained, cell_event::leave_requested,
                 cell_event::time_passed>;

namespace cell_action {
struct read_record {
    platform_call_id call = 0;
};
/// Creates the record if `version` is 0, else updates that version of it.
struct write_record {
    platform_call_id call = 0;
    record_version version = 0;
    cell_record record;
};
/// Requests the platform's list of hosts. Only a successful answer is reported back.
struct list_hosts {};
struct send_message {
    std::string address; ///< Address of the receiver, as ip:port.
    cell_message_body body;
};
struct ownership_changed {
    std::shared_ptr<const ownership> owners;
};
/// Change of the set of searchers that this node serves.
struct serve {
    std::vector<std::string> searchers;   ///< All served searchers, ascending.
    std::vector<std::string> handed_over; ///< Newly served searchers that their former owner has drained.
    std::vector<std::string> stopped;     ///< Searchers to report by searcher_drained once no work is left.
};
struct authority_changed {
    authority value;
};
/// Notice that the node has left the cell: its searchers are drained, and their next owners have acknowledged
/// it.
struct left {};
} // namespace cell_action

using cell_output = std::variant<cell_action::read_record, cell_action::write_record, cell_action::list_hosts,
                                 cell_action::send_message, cell_action::ownership_changed,
                                 cell_action::serve, cell_action::authority_changed, cell_action::left>;

/// Values for the state dump.
struct cell_view {
    struct member_view {
        member node;
        duration last_heard{}; ///< Age of the last heartbeat; known only to the holder.
    };
    std::string cell;
    epoch_id epoch = 0;
    record_version version = 0;
    std::string holder;
    bool is_holder = false;
    bool is_member = false;
    bool backed_by_promises = false;
    duration full_for{}; ///< Remaining time of full authority; 0 if it has ended.
    duration warm_for{}; ///< Remaining time of authority over warm searchers; 0 if it has ended.
    std::vector<member_view> members;
    std::vector<std::string> serving;
    std::size_t waiting = 0; ///< Number of owned searchers whose handover is pending.
    std::string last_reason; ///< Reason of the last change of epoch or holder.
};

struct cell_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t host_lists = 0;
    std::uint64_t messages = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t epochs = 0; ///< Number of epoch changes that this node wrote.
};

struct cell_settings {
    std::string name; ///< Name of the cell and of its record in the platform.
    cell_index index;
    member self;
    cell_timing timing;
    std::uint64_t seed = 0; ///< Seed that makes the write tokens of this process unique.
    /// Addresses of peers that may know the record while the platform is unreachable.
    std::vector<std::string> seeds;
};

class cell {
public:
    explicit cell(cell_settings settings);
    ~cell();
    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;

    /// Processes one event and appends the resulting actions to `out`, in order.
    void handle(cell_input event, time_point now, std::vector<cell_output>& out);

    /// Returns the time at which handle() must be called with time_passed next.
    [[nodiscard]] time_point next_wakeup() const;

    [[nodiscard]] cell_view view(time_point now) const;
    [[nodiscard]] const cell_counters& counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
