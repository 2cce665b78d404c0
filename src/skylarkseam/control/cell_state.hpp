// State shared by the parts of the cell's state machine: the latest known record, the node's lease, and its
// votes and promises.
#pragma once

#include <skylarkseam/control/cell.hpp>
#include <skylarkseam/control/epoch_commitments.hpp>
#include <skylarkseam/control/handover_tracker.hpp>
#include <skylarkseam/control/member_lease.hpp>
#include <skylarkseam/control/record_writer.hpp>

namespace skylarkseam {

struct cell_state {
    explicit cell_state(cell_settings values)
        : settings(std::move(values))
        , writer(settings.timing, settings.self.node + '.' + std::to_string(settings.self.incarnation) + '.' +
                                      std::to_string(settings.seed) + '.')
        , lease(settings.timing)
        , handovers(settings.self.node, settings.self.incarnation) {}

    cell_settings settings;
    std::shared_ptr<const configuration> config = std::make_shared<const configuration>();
    /// Record of the highest known epoch, with the holder and token of `version`.
    std::optional<cell_record> record;
    record_version version = 0;   ///< Latest version known to exist.
    time_point version_seen_at{}; ///< Time at which this node learned of `version`.
    record_writer writer;
    member_lease lease;
    epoch_commitments commitments;
    handover_tracker handovers;
    bool leaving = false;
    std::string last_reason = "started";
    cell_counters counters;

    time_point now{};
    std::vector<cell_output>* out = nullptr;

    [[nodiscard]] const cell_timing& timing() const { return settings.timing; }
    [[nodiscard]] const member& self() const { return settings.self; }
    [[nodiscard]] epoch_id epoch() const { return record ? record->owners.epoch : 0; }
    [[nodiscard]] bool self_is_member() const {
        return record && is_member(*record, self().node, self().incarnation);
    }
    [[nodiscard]] bool self_is_holder() const {
        return record && record->holder == self().node && record->holder_incarnation == self().incarnation;
    }
    [[nodiscard]] std::size_t member_count() const { return record ? record->owners.members.size() : 0; }

    /// Returns whether the last renewal of the lease is more than `age` ago, or there was none.
    [[nodiscard]] bool lease_older_than(duration age) const {
        return !lease.renewed_at() || now - *lease.renewed_at() > age;
    }

    void send(const std::string& address, cell_message_body body) {
        ++counters.messages;
        out->emplace_back(cell_action::send_message{address, std::move(body)});
    }

    template <typename Body>
    void send_to_other_members(const Body& body) {
        for (const auto& it : record->owners.members) {
            if (it.node != self().node) {
                send(it.peer_address, body);
            }
        }
    }

    /// Records that this version of the record exists and belongs to `epoch`.
    void observe_version(epoch_id epoch, record_version known) {
        commitments.observe(epoch, known);
        writer.discard_superseded(known);
        if (known > version) {
            version = known;
            version_seen_at = now;
        }
    }
};

} // namespace skylarkseam
