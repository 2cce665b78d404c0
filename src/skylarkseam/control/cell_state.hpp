// What the parts of a cell's state machine share: the record as last known, the node's lease and what it has
// bound itself to.
#pragma once

#include <skylarkseam/control/cell.hpp>
#include <skylarkseam/control/handover_tracker.hpp>
#include <skylarkseam/control/member_lease.hpp>
#include <skylarkseam/control/promise_book.hpp>
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
    std::optional<cell_record> record; ///< of the highest epoch known; its holder and token of `version`
    record_version version = 0;        ///< the latest known to exist
    time_point first_seen{};           ///< when this node learned of `version`
    record_writer writer;
    member_lease lease;
    promise_book promises;
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

    /// Whether the lease has not been renewed for at least `age`.
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

    /// A version of this epoch is known to exist.
    void learn_version(epoch_id epoch, record_version known) {
        promises.learn(epoch, known);
        writer.settle(known);
        if (known > version) {
            version = known;
            first_seen = now;
        }
    }
};

} // namespace skylarkseam
