// Hosts of the simulated world whose connections to searchers fail.
#include "gateway_world.hpp"

namespace skylarkseam::testing {
namespace {

/// Time after which data that is not acknowledged ends a connection.
constexpr duration unacknowledged_time = milliseconds(1500);

} // namespace

bool gateway_world::lose(std::uint32_t host, const std::shared_ptr<in_flight_attempt>& attempt,
                         const gateway_action::send& action) {
    const auto state = links[host];
    if (state == upstream_links::sound) {
        return false;
    }
    attempt_result result;
    result.outcome = attempt_outcome::not_sent;
    result.connection_refused = state == upstream_links::refused;
    auto after_time =
        state == upstream_links::refused ? 2 * link(host, *attempt->target) : action.connect_timeout;
    // The first request to each searcher goes out on a connection that was open before.
    if (state == upstream_links::hanging &&
        kept_connections_.insert({host, attempt->target->record.address}).second) {
        result.outcome = attempt_outcome::broken;
        after_time = unacknowledged_time;
    } else {
        after(duration::zero(),
              [this, host, id = action.id] { handle(host, gateway_event::attempt_connecting{id}); });
    }
    after(after_time, [this, attempt, result] {
        if (!attempt->cancelled) {
            remove_in_flight((attempt_id{attempt->host} << 48U) | attempt->id);
            handle(attempt->host, gateway_event::attempt_ended{attempt->id, result});
        }
    });
    return true;
}

} // namespace skylarkseam::testing
