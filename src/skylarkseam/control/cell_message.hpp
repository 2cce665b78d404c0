// Messages between the nodes of a cell. The holder is the member that renews the cell's record.
#pragma once

#include <skylarkseam/control/cell_record.hpp>

#include <variant>

namespace skylarkseam {

namespace cell_message {

/// Request of the holder for a member's heartbeat, sent before a renewal.
struct probe {
    epoch_id epoch = 0;
    record_version version = 0;
};
/// Heartbeat of a member. The member's lease counts from the time at which it sent this message.
struct heartbeat {
    epoch_id epoch = 0; ///< Latest epoch known to the member.
    std::uint64_t sequence = 0;
    bool leaving = false;
};
/// Notice that the holder renewed the record after it had received heartbeat `sequence` of the member.
struct renewed {
    epoch_id epoch = 0;
    record_version version = 0;
    std::uint64_t sequence = 0;        ///< Sequence number of the acknowledged heartbeat; 0 for none.
    std::optional<cell_record> record; ///< The record, for a member that does not know the epoch.
};
/// Request of a node to become a member.
struct join {
    member node;
};
/// Request of the holder for a vote on a new epoch, to be written as an update of `version`.
struct vote_request {
    epoch_id epoch = 0;
    record_version version = 0;
};
/// Answer to a vote_request. A voter that grants it has no active promise, and grants no promise until it
/// knows a later version of the record.
struct vote {
    epoch_id epoch = 0;
    record_version version = 0;
    bool granted = false;
};
/// Request of a member whose lease is not renewed for a promise, which extends its authority.
struct promise_request {
    epoch_id epoch = 0;
    std::uint64_t sequence = 0;
};
/// Answer to a promise_request. A promise is a commitment of a member not to vote for another epoch for
/// cell_timing::promise_duration.
struct promise {
    epoch_id epoch = 0;
    std::uint64_t sequence = 0;
    bool granted = false;
};
/// Notice of a former owner that it has no work left at these searchers and sends them no more.
struct released {
    epoch_id epoch = 0; ///< Latest epoch known to the former owner.
    std::vector<std::string> searchers;
};
/// Acknowledgement of a released message.
struct release_received {
    std::vector<std::string> searchers;
};

} // namespace cell_message

using cell_message_body =
    std::variant<cell_message::probe, cell_message::heartbeat, cell_message::renewed, cell_message::join,
                 cell_message::vote_request, cell_message::vote, cell_message::promise_request,
                 cell_message::promise, cell_message::released, cell_message::release_received>;

struct cell_envelope {
    std::string cell;
    std::string from; ///< Node name of the sender.
    std::uint64_t incarnation = 0;
    std::string address; ///< Address of the sender, as ip:port.
    cell_message_body body;
};

} // namespace skylarkseam
