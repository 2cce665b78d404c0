#include <skylarkseam/wire/cell_json.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

using nlohmann::json;

constexpr int record_format = 1;

json encode_member(const cell_record& record, const member& it) {
    json searchers = json::array();
    for (const auto& [name, node] : record.owners.owner_of) {
        if (node == it.node) {
            searchers.push_back(name);
        }
    }
    return {{"node", it.node},     {"incarnation", it.incarnation}, {"zone", it.zone},
            {"region", it.region}, {"address", it.peer_address},    {"searchers", std::move(searchers)}};
}

json encode_handover(const handover& it) {
    return {{"searcher", it.searcher},
            {"former", it.former},
            {"incarnation", it.former_incarnation},
            {"epoch", it.epoch},
            {"wait_us", it.wait.count()}};
}

void read_member(const json& from, cell_record& into) {
    member it;
    it.node = from.at("node").get<std::string>();
    it.incarnation = from.at("incarnation").get<std::uint64_t>();
    it.zone = from.at("zone").get<std::string>();
    it.region = from.at("region").get<std::string>();
    it.peer_address = from.at("address").get<std::string>();
    for (const auto& name : from.at("searchers")) {
        into.owners.owner_of[name.get<std::string>()] = it.node;
    }
    into.owners.members.push_back(std::move(it));
}

handover read_handover(const json& from) {
    handover it;
    it.searcher = from.at("searcher").get<std::string>();
    it.former = from.at("former").get<std::string>();
    it.former_incarnation = from.at("incarnation").get<std::uint64_t>();
    it.epoch = from.at("epoch").get<epoch_id>();
    it.wait = duration(from.at("wait_us").get<std::int64_t>());
    return it;
}

cell_record read_record(const json& from) {
    cell_record record;
    record.owners.epoch = from.at("epoch").get<epoch_id>();
    const auto& holder = from.at("holder");
    record.holder = holder.at("node").get<std::string>();
    record.holder_incarnation = holder.at("incarnation").get<std::uint64_t>();
    record.holder_address = holder.at("address").get<std::string>();
    record.token = from.at("token").get<std::string>();
    for (const auto& it : from.at("members")) {
        read_member(it, record);
    }
    std::ranges::sort(record.owners.members, {}, &member::node);
    for (const auto& it : from.at("handovers")) {
        record.handovers.push_back(read_handover(it));
    }
    return record;
}

} // namespace

std::string encode_cell_record(const cell_record& record) {
    json members = json::array();
    for (const auto& it : record.owners.members) {
        members.push_back(encode_member(record, it));
    }
    json handovers = json::array();
    for (const auto& it : record.handovers) {
        handovers.push_back(encode_handover(it));
    }
    const json out{{"format", record_format},
                   {"epoch", record.owners.epoch},
                   {"holder",
                    {{"node", record.holder},
                     {"incarnation", record.holder_incarnation},
                     {"address", record.holder_address}}},
                   {"token", record.token},
                   {"members", std::move(members)},
                   {"handovers", std::move(handovers)}};
    return out.dump();
}

result<cell_record> decode_cell_record(std::string_view text) {
    try {
        const auto from = json::parse(text);
        if (from.at("format").get<int>() != record_format) {
            return make_error(error_kind::protocol_violation, "a cell record of another format");
        }
        return read_record(from);
    } catch (const json::exception& ec) {
        return make_error(error_kind::protocol_violation,
                          std::string("a cell record of the wrong form: ") + ec.what());
    }
}

} // namespace skylarkseam
