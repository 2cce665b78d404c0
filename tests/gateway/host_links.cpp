// Hosts of the simulated world whose connections to searchers fail.
#include "gateway_world.hpp"

namespace skylarkseam::testing {
namespace {

/// Time after which data that is not acknowledged ends a connection.
constexpr duration unacknowledged_time = milliseconds(1500);
constexpr duration unanswered_question_time = milliseconds(250);

} // namespace

bool gateway_world::lose(std::uint32_t host, const std::shared_ptr<in_flight_attempt>& attempt,
                         const gateway_action::send& action) {
    const auto state = links[host];
    if (state == upstream_links::sound) {
        return false;
    }
    if (state == upstream_links::mute) {
        return true;
    }
    attempt_result result;
    if (state == upstream_links::resetting) {
        result.outcome = attempt_outcome::broken;
        result.connection_lost = true;
        result.connect_time = 2 * link(host, *attempt->target);
        end_later(attempt, 2 * *result.connect_time, result);
        return true;
    }
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
    end_later(attempt, after_time, result);
    return true;
}

void gateway_world::end_later(const std::shared_ptr<in_flight_attempt>& attempt, duration delay,
                              const attempt_result& result) {
    after(delay, [this, attempt, result] {
        if (!attempt->cancelled) {
            remove_in_flight((attempt_id{attempt->host} << 48U) | attempt->id);
            handle(attempt->host, gateway_event::attempt_ended{attempt->id, result});
        }
    });
}

duration gateway_world::between(std::uint32_t host, std::uint32_t other) const {
    return host_zones_[host] == host_zones_[other] ? in_zone : cross_region;
}

std::uint32_t gateway_world::host_at(const std::string& address) {
    return static_cast<std::uint32_t>(std::stoul(address.substr(address.find('-') + 1)));
}

void gateway_world::introduce_hosts() {
    for (std::uint32_t n = 0; n < hosts.size(); ++n) {
        std::vector<relay_peer> peers;
        std::set<std::string> others;
        for (std::uint32_t other = 0; other < hosts.size(); ++other) {
            // Of another zone a host knows the first one.
            const auto& zone = host_zones_[other];
            if (other != n && (zone == host_zones_[n] || others.insert(zone).second)) {
                peers.push_back({"host-" + std::to_string(other), zone});
            }
        }
        hosts[n]->set_peers(peers);
    }
}

void gateway_world::relay(std::uint32_t host, const gateway_action::relay& action) {
    const auto to = host_at(action.address);
    const auto way = between(host, to);
    const auto token = ++last_token_;
    relayed_[token] = {host, action.token, to};
    after(way, [this, host, to, way, token, action] {
        if (!relayed_.contains(token) || still.contains(to)) {
            return;
        }
        if (!hosts[to]->takes_relays(action.config_version)) {
            relayed_.erase(token);
            after(way, [this, host, action] {
                handle(host, gateway_event::relay_ended{action.token, {relay_outcome::declined, {}, {}}});
            });
            return;
        }
        after(way, [this, host, action] { handle(host, gateway_event::relay_accepted{action.token}); });
        gateway_request request;
        const auto& origin = requests_.at(action.token);
        request.token = token;
        request.id = origin.id;
        request.host = "search.example";
        request.path = origin.path;
        request.time_left = action.time_left;
        request.fingerprint = origin.path;
        request.relayed = true;
        request.max_attempts = action.max_attempts;
        requests_[token] = {origin.id, origin.path, now};
        handle(to, gateway_event::request_arrived{request});
    });
}

void gateway_world::ask_peer(std::uint32_t host, const gateway_action::ask_peer& action) {
    const auto to = host_at(action.address);
    const auto way = between(host, to);
    ++questions_to[to];
    if (of_an_old_build.contains(to)) {
        after(2 * way, [this, host, address = action.address] {
            handle(host, gateway_event::peer_asked{address, std::nullopt, true});
        });
        return;
    }
    if (still.contains(to)) {
        after(unanswered_question_time, [this, host, address = action.address] {
            handle(host, gateway_event::peer_asked{address, std::nullopt, false});
        });
        return;
    }
    after(way, [this, host, to, way, action] {
        const relay_offer offer{hosts[to]->takes_relays(action.config_version),
                                hosts[to]->peers_to_name(now)};
        after(way, [this, host, address = action.address, offer] {
            handle(host, gateway_event::peer_asked{address, offer, true});
        });
    });
}

void gateway_world::cancel_relay(std::uint32_t host, request_token token) {
    for (auto it = relayed_.begin(); it != relayed_.end();) {
        const auto relayed = *it;
        if (relayed.second.host != host || relayed.second.token != token) {
            ++it;
            continue;
        }
        it = relayed_.erase(it);
        after(between(host, relayed.second.at),
              [this, relayed] { disconnect(relayed.first, relayed.second.at); });
    }
}

bool gateway_world::answer_relay(std::uint32_t host, request_token token, const client_result& result) {
    const auto found = relayed_.find(token);
    if (found == relayed_.end()) {
        return false;
    }
    const auto origin = found->second;
    relayed_.erase(found);
    relay_result answer;
    answer.outcome = relay_outcome::answered;
    answer.answer.status = result.status;
    answer.answer.body = std::string(result.missing, 'm'); // As many bytes as parts are missing.
    if (!of_an_old_build.contains(origin.at)) {
        answer.answer.report = result.report;
    }
    after(between(host, origin.host), [this, origin, answer] {
        handle(origin.host, gateway_event::relay_ended{origin.token, answer});
    });
    return true;
}

} // namespace skylarkseam::testing
