#include <skylarkseam/cli/confirmation.hpp>

#include <algorithm>
#include <set>

namespace skylarkseam {
namespace {

constexpr duration ask_interval = milliseconds(200);

} // namespace

std::vector<std::string> find_nodes(operator_session& session) {
    const auto& first = session.targets().peers;
    std::set<std::string> found(first.begin(), first.end());
    const std::vector<std::string> asked(found.begin(), found.end());
    for (const auto& it : session.ask_peers(asked, configuration_message::peers_request{})) {
        if (const auto* peers = it ? std::get_if<configuration_message::peers>(&*it) : nullptr) {
            found.insert(peers->addresses.begin(), peers->addresses.end());
        }
    }
    return {found.begin(), found.end()};
}

std::vector<node_confirmation> ask_generations(operator_session& session,
                                               const std::vector<std::string>& addresses) {
    const auto replies = session.ask_peers(addresses, configuration_message::digest{});
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

std::vector<node_confirmation> wait_for(operator_session& session, generation_id generation,
                                        duration longest) {
    const auto deadline = session.loop().now() + longest;
    const auto addresses = find_nodes(session);
    while (true) {
        auto behind = ask_generations(session, addresses);
        std::erase_if(behind, [&](const auto& it) { return it.generation >= generation; });
        if (behind.empty() || session.loop().now() >= deadline) {
            return behind;
        }
        session.sleep(ask_interval);
    }
}

std::string to_string(const node_confirmation& it) {
    if (it.node.empty()) {
        return it.address + ": no answer";
    }
    return it.node + " (" + it.address + "): generation " + std::to_string(it.generation);
}

} // namespace skylarkseam
