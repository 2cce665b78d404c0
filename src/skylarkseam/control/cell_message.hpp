// The messages between the nodes of a cell.
#pragma once

#include <skylarkseam/control/cell_record.hpp>

#include <variant>

namespace skylarkseam {

namespace cell_message {

/// The holder asks a member for a sign of life before it renews.
struct probe {
    epoch_id epoch = 0;
    record_version version = 0;
};
/// A member's sign of life. Its authority counts from the time at which it sent this.
struct heartbeat {
    epoch_id epoch = 0; ///< that the member knows
    std::uint64_t sequence = 0;
    bool leaving = false;
};
/// The holder has renewed the record after it received the member's sign of life `sequence`.
struct renewed {
    epoch_id epoch = 0;
    record_version version = 0;
    std::uint64_t sequence = 0;        ///< 0: none
    std::optional<cell_record> record; ///< for a member that does not know the epoch
};
/// A node that is not a member asks the holder to take it in.
struct join {
    member node;
};
/// The holder asks whether it may change the epoch by an update of `version`.
struct vote_request {
    epoch_id epoch = 0;
    record_version version = 0;
};
/// Granted: the voter has no promise open and gives none until it knows a later version.
struct vote {
    epoch_id epoch = 0;
    record_version version = 0;
    bool granted = false;
};
/// A member whose lease is not renewed asks for a promise to follow no new epoch.
struct promise_request {
    epoch_id epoch = 0;
    std::uint64_t sequence = 0;
};
/// Granted: no vote for another epoch for cell_timing::promise.
struct promise {
    epoch_id epoch = 0;
    std::uint64_t sequence = 0;
    bool granted = false;
};
/// The former owner has no work left at these searchers and sends no more.
struct released {
    epoch_id epoch = 0; ///< that the former owner knows
    std::vector<std::string> searchers;
};
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
    std::string from; ///< node name
    std::uint64_t incarnation = 0;
    std::string address; ///< of the sender, ip:port
    cell_message_body body;
};

} // namespace skylarkseam
