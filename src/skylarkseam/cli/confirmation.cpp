#include <skylarkseam/cli/confirmation.hpp>

#include <algorithm>
#include <set>

namespace skylarkseam {
namespace {

constexpr duration poll_interval = milliseconds(200);

} // namespace

std::vector<std::string> discover_nodes(operator_session& session) {
    const auto& seeds = session.targets().peers;
    std::set<std::string> found(seeds.begin(), seeds.end());
    const std::vector<std::string> queried(found.begin(), found.end());
    for (const auto& it : session.call_peers(queried, configuration_message::peers_request{})) {
        if (const auto* peers = it ? std::get_if<configuration_message::peers>(&*it) : nullptr) {
            found.insert(peers->addresses.begin(), peers->addresses.end());
        }
    }
    return {found.begin(), found.end()};
}

std::vector<node_confirmation> query_generations(operator_session& session,
                                                 const std::vector<std::string>& addresses) {
    const auto replies = session.call_peers(addresses, configuration_message::digest{});
    std::vector<node_confirmation> out;
    out.reserve(addresses.size());
    for (std::size_t n = 0; n < addresses.size(); ++n) {
        node_confirmation it{addresses[n], "", 0};
        if (const auto* digest =
                replies[n] ? std::get_if<configuration_message::digest>(&*replies[n]) : nullptr) {
            it.node = digest->node;
            it.generation = digest->generation;
        }
        out.push_back(std::move(it));
    }
    return out;
}

std::vector<node_confirmation> wait_for_generation(operator_session& session, generation_id generation,
                                                   duration timeout) {
    const auto deadline = session.loop().now() + timeout;
    const auto addresses = discover_nodes(session);
    while (true) {
        auto unconfirmed = query_generations(session, addresses);
        std::erase_if(unconfirmed, [&](const auto& it) { return it.generation >= generation; });
        if (unconfirmed.empty() || session.loop().now() >= deadline) {
            return unconfirmed;
        }
        session.sleep(poll_interval);
    }
}

std::string to_string(const node_confirmation& it) {
    if (it.node.empty()) {
        return it.address + ": no answer";
    }
    return it.node + " (" + it.address + "): generation " + std::to_string(it.generation);
}

} // namespace skylarkseam
