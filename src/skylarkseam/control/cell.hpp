// A node's part in its cell: takes part in renewing the cell's record in the platform, and derives from it
// who the members are, which searchers this node serves, and until when it may.
#pragma once

#include <skylarkseam/control/cell_message.hpp>
#include <skylarkseam/control/cell_timing.hpp>
#include <skylarkseam/control/epoch_change.hpp>
#include <skylarkseam/core/platform_object.hpp>

#include <memory>

namespace skylarkseam {

using platform_call_id = std::uint64_t;

/// The platform's object kind of cell records.
constexpr std::string_view cell_kind = "cells";

namespace cell_event {
/// The answer to a read or a write of the cell's object.
struct platform_answered {
    platform_call_id call = 0;
    platform_status status = platform_status::unavailable;
    bool not_sent = false;
    record_version version = 0;
    std::optional<cell_record> record; ///< where the status is ok; nothing if it cannot be decoded
};
struct message_arrived {
    cell_envelope message;
};
struct configuration_changed {
    std::shared_ptr<const configuration> config;
};
/// No work of this node is left at a searcher that it stopped serving.
struct searcher_drained {
    std::string searcher;
};
/// The node is to leave: its searchers go to other members.
struct leave_requested {};
struct time_passed {};
} // namespace cell_event

using cell_input = std::variant<cell_event::platform_answered, cell_event::message_arrived,
                                cell_event::configuration_changed, cell_event::searcher_drained,
                                cell_event::leave_requested, cell_event::time_passed>;

namespace cell_action {
struct read_record {
    platform_call_id call = 0;
};
/// Creates the object where `version` is 0, else updates that version.
struct write_record {
    platform_call_id call = 0;
    record_version version = 0;
    cell_record record;
};
struct send_message {
    std::string address; ///< ip:port of the peer
    cell_message_body body;
};
struct ownership_changed {
    std::shared_ptr<const ownership> owners;
};
/// The searchers that this node serves from now on.
struct serve {
    std::vector<std::string> searchers;   ///< all of them, ascending
    std::vector<std::string> handed_over; ///< new ones that their former owner has drained
    std::vector<std::string> stopped;     ///< to be reported by searcher_drained once no work is left
};
struct authority_changed {
    authority value;
};
/// The node has left the cell; its searchers are drained and the next owners know it.
struct left {};
} // namespace cell_action

using cell_output = std::variant<cell_action::read_record, cell_action::write_record,
                                 cell_action::send_message, cell_action::ownership_changed,
                                 cell_action::serve, cell_action::authority_changed, cell_action::left>;

/// What the state dump shows.
struct cell_view {
    struct member_view {
        member node;
        duration last_heard{}; ///< ago; only known at the holder
    };
    std::string cell;
    epoch_id epoch = 0;
    record_version version = 0;
    std::string holder;
    bool is_holder = false;
    bool is_member = false;
    bool backed_by_promises = false;
    duration full_for{}; ///< remaining full authority; 0 if none
    duration warm_for{};
    std::vector<member_view> members;
    std::vector<std::string> serving;
    std::size_t waiting = 0; ///< searchers owned but still waited for
    std::string last_reason; ///< of the last change of epoch, holder or authority
};

struct cell_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t messages = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t epochs = 0; ///< changed by this node
};

struct cell_settings {
    std::string name; ///< of the cell, and of its object in the platform
    cell_index index;
    member self;
    cell_timing timing;
    std::uint64_t seed = 0;         ///< of the tokens
    std::vector<std::string> seeds; ///< peers that may know the record while the platform is out of reach
};

class cell {
public:
    explicit cell(cell_settings settings);
    ~cell();
    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;

    /// Takes one event and appends what is to be done, in order.
    void handle(cell_input event, time_point now, std::vector<cell_output>& out);

    /// When handle(time_passed) is due next.
    [[nodiscard]] time_point next_wakeup() const;

    [[nodiscard]] cell_view view(time_point now) const;
    [[nodiscard]] const cell_counters& counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
