#include <skylarkseam/shell/peer_directory.hpp>

#include <nlohmann/json.hpp>

#include <set>

namespace skylarkseam {
namespace {

using nlohmann::json;

constexpr duration ask_interval = milliseconds(500);
constexpr duration call_timeout = milliseconds(500);
constexpr duration forget_after = seconds(2);

json to_json(const member& it) {
    return {{"node", it.node},
            {"incarnation", it.incarnation},
            {"zone", it.zone},
            {"region", it.region},
            {"peer_address", it.peer_address}};
}

member to_member(const json& from) {
    member it;
    it.node = from.at("node").get<std::string>();
    it.incarnation = from.at("incarnation").get<std::uint64_t>();
    it.zone = from.at("zone").get<std::string>();
    it.region = from.at("region").get<std::string>();
    it.peer_address = from.at("peer_address").get<std::string>();
    return it;
}

} // namespace

peer_directory::peer_directory(event_loop& loop, peer_client& peers, peer_server& server, member self,
                               std::vector<std::string> seeds,
                               std::function<void(const std::vector<member>&)> on_change)
    : loop_(loop)
    , peers_(peers)
    , self_(std::move(self))
    , seeds_(std::move(seeds))
    , on_change_(std::move(on_change)) {
    server.serve("introduce",
                 [this](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
                     learn(body);
                     responder->send(introduction());
                     responder->finish();
                 });
    loop_.post([this] { ask_all(); });
}

std::string peer_directory::introduction() const {
    json out{{"self", to_json(self_)}, {"others", json::array()}};
    for (const auto& [name, it] : known_) {
        out["others"].push_back(it.who.peer_address);
    }
    return out.dump();
}

void peer_directory::learn(const std::string& body) {
    const auto from = json::parse(body, nullptr, false);
    if (from.is_discarded()) {
        return;
    }
    try {
        auto who = to_member(from.at("self"));
        if (who.node != self_.node) {
            known_[who.node] = {who, loop_.now()};
        }
        for (const auto& it : from.at("others")) {
            const auto address = it.get<std::string>();
            if (address != self_.peer_address &&
                std::find(seeds_.begin(), seeds_.end(), address) == seeds_.end()) {
                seeds_.push_back(address);
            }
        }
    } catch (const json::exception&) {
        return;
    }
    report_changes();
}

void peer_directory::ask_all() {
    std::set<std::string> addresses(seeds_.begin(), seeds_.end());
    for (const auto& [name, it] : known_) {
        addresses.insert(it.who.peer_address);
    }
    for (const auto& it : addresses) {
        peers_.call(it, "introduce", introduction(), call_timeout,
                    [this](const stream_end&, const std::string& frame) { learn(frame); });
    }
    std::erase_if(known_, [this](const auto& it) { return loop_.now() - it.second.heard > forget_after; });
    report_changes();
    loop_.run_after(ask_interval, [this] { ask_all(); });
}

void peer_directory::report_changes() {
    std::map<std::string, member> all{{self_.node, self_}};
    for (const auto& [name, it] : known_) {
        all[name] = it.who;
    }
    std::vector<member> members;
    members.reserve(all.size());
    for (const auto& [name, it] : all) {
        members.push_back(it);
    }
    if (members != reported_) {
        reported_ = members;
        on_change_(reported_);
    }
}

} // namespace skylarkseam
