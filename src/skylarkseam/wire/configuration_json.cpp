#include <skylarkseam/core/content_hash.hpp>
#include <skylarkseam/wire/configuration_decoder.hpp>
#include <skylarkseam/wire/configuration_json.hpp>
#include <skylarkseam/wire/json_document.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr int head_format = 1;

std::string encode_searcher(const searcher& it) {
    ordered_json value;
    value["name"] = it.name;
    value["address"] = it.address;
    value["availability_zone"] = it.zone;
    value["state"] = std::string(name_of(it.state));
    value["shards"] = it.shards;
    return value.dump();
}

std::string encode_zone(const availability_zone& it) {
    ordered_json value;
    value["kind"] = "availability_zone";
    value["name"] = it.name;
    value["state"] = std::string(name_of(it.state));
    return value.dump();
}

std::string encode_group(const upstream_group& it) {
    ordered_json value;
    value["kind"] = "upstream_group";
    value["name"] = it.name;
    value["slots"] = it.slots;
    value["connections"] = it.connections;
    value["cold_start"]["slots"] = it.cold.slots;
    value["cold_start"]["step"] = it.cold.step;
    value["cold_start"]["interval_ms"] = to_ms(it.cold.interval);
    auto text = value.dump();
    text.pop_back();
    text += ",\"searchers\":[";
    for (const auto& one : it.searchers) {
        text += text.back() == '[' ? "\n" : ",\n";
        text += encode_searcher(one);
    }
    return text + "]}";
}

std::string encode_service(const service& it) {
    ordered_json value;
    value["kind"] = "service";
    value["name"] = it.name;
    value["upstream_group"] = it.group;
    value["deadline_ms"] = to_ms(it.deadline);
    value["minimum_coverage"] = it.minimum_coverage;
    value["idempotent"] = it.idempotent;
    value["class"] = std::string(name_of(it.cls));
    value["hedge"]["budget_percent"] = it.hedge_budget_percent;
    return value.dump();
}

std::string encode_rule(const sharing_rule& it) {
    ordered_json value;
    value["kind"] = "sharing_rule";
    value["name"] = it.name;
    value["upstream_group"] = it.group;
    value["callers"] = json::array();
    for (const auto& share : it.callers) {
        ordered_json part;
        part["name"] = share.caller;
        part["weight"] = share.weight;
        part["floor"] = share.floor;
        part["max_in_flight"] = share.max_in_flight;
        value["callers"].push_back(std::move(part));
    }
    return value.dump();
}

error invalid_configuration_error(std::string text) {
    return make_error(error_kind::invalid_configuration, std::move(text));
}

bool is_hash(const std::string& text) {
    return text.size() == 32 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Returns the text of a member, or an empty string if the member is absent or not a string.
std::string text_member(const json& value, const char* key) {
    const auto it = value.find(key);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::vector<applied_generation> decode_history(const json& value) {
    std::vector<applied_generation> history;
    const auto list = value.find("history");
    if (list == value.end() || !list->is_array()) {
        return history;
    }
    for (const auto& it : *list) {
        const auto generation = it.is_object() ? it.find("generation") : it.end();
        if (generation != it.end() && generation->is_number_unsigned()) {
            history.push_back({generation->get<generation_id>(), text_member(it, "token")});
        }
    }
    return history;
}

result<configuration_head> decode_head(std::string_view value_json) {
    const auto value = json::parse(value_json, nullptr, false);
    if (!value.is_object() || value.value("format", json()) != head_format) {
        return invalid_configuration_error("the head of the configuration is not of format " +
                                           std::to_string(head_format));
    }
    configuration_head head;
    const auto generation = value.find("generation");
    if (generation == value.end() || !generation->is_number_unsigned() || *generation == 0U) {
        return invalid_configuration_error("the head of the configuration has no generation");
    }
    head.generation = generation->get<generation_id>();
    head.token = text_member(value, "token");
    head.hash = text_member(value, "hash");
    head.body = text_member(value, "body");
    head.history = decode_history(value);
    for (const auto& it : value.value("pieces", json::array())) {
        head.pieces.push_back(it.is_string() ? it.get<std::string>() : std::string());
    }
    if (head.token.empty() || !is_hash(head.hash) || head.body.empty() == head.pieces.empty() ||
        !std::all_of(head.pieces.begin(), head.pieces.end(), is_hash)) {
        return invalid_configuration_error("the head of the configuration is malformed");
    }
    return head;
}

std::string encode_head(const configuration_head& head) {
    ordered_json value;
    value["format"] = head_format;
    value["generation"] = head.generation;
    value["token"] = head.token;
    value["hash"] = head.hash;
    value["history"] = json::array();
    for (const auto& it : head.history) {
        value["history"].push_back({{"generation", it.generation}, {"token", it.token}});
    }
    if (head.pieces.empty()) {
        value["body"] = head.body;
    } else {
        value["pieces"] = head.pieces;
    }
    return value.dump();
}

result<std::string> decode_piece(std::string_view value_json) {
    const auto value = json::parse(value_json, nullptr, false);
    if (!value.is_object() || text_member(value, "text").empty()) {
        return invalid_configuration_error("a piece of the configuration is malformed");
    }
    return text_member(value, "text");
}

std::string encode_piece(std::string_view text) {
    json value;
    value["text"] = std::string(text);
    return value.dump();
}

template <typename Objects, typename Encode>
void append_objects(std::string& text, const Objects& objects, const Encode& encode) {
    for (const auto& it : objects) {
        text += text.size() == 1 ? "\n" : ",\n";
        text += encode(it.second);
    }
}

} // namespace

std::string encode_configuration(const configuration& config) {
    std::string text = "[";
    append_objects(text, config.zones, encode_zone);
    append_objects(text, config.groups, encode_group);
    append_objects(text, config.services, encode_service);
    append_objects(text, config.rules, encode_rule);
    return text + "\n]\n";
}

result<std::shared_ptr<const configuration>> decode_configuration_text(std::string_view body,
                                                                       generation_id generation) {
    fault_list faults;
    const auto documents = parse_json("", body, faults);
    auto config = std::make_shared<configuration>(decode_configuration(documents, faults));
    if (!faults.empty()) {
        return invalid_configuration_error(to_string(faults.sorted()));
    }
    config->generation = generation;
    return std::shared_ptr<const configuration>(std::move(config));
}

const configuration_codec& json_configuration_codec() {
    static constexpr configuration_codec codec{decode_head,          encode_head,  decode_configuration_text,
                                               encode_configuration, decode_piece, encode_piece};
    return codec;
}

configuration_head make_configuration_head(const configuration& config, std::string token) {
    configuration_head head;
    head.generation = config.generation;
    head.token = std::move(token);
    head.body = encode_configuration(config);
    head.hash = content_hash(head.body);
    if (head.body.size() > max_inline_body_bytes) {
        for (const auto& it : split_into_pieces(head.body)) {
            head.pieces.push_back(content_hash(it));
        }
        head.body.clear();
    }
    return head;
}

} // namespace skylarkseam
