#include <skylarkseam/control/configuration_diff.hpp>

#include <array>
#include <charconv>
#include <map>

namespace skylarkseam {
namespace {

using fields = std::map<std::string, std::string>;
using objects = std::map<std::string, fields>;

std::string text_of(double value) {
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), end.ptr};
}

std::string text_of(const std::vector<shard_id>& shards) {
    std::string text;
    for (const auto it : shards) {
        text += (text.empty() ? "" : ",") + std::to_string(it);
    }
    return text;
}

void add_group(objects& out, const upstream_group& it) {
    auto& group = out["upstream_group " + it.name];
    group["slots"] = std::to_string(it.slots);
    group["connections"] = std::to_string(it.connections);
    group["cold_start.slots"] = std::to_string(it.cold.slots);
    group["cold_start.step"] = std::to_string(it.cold.step);
    group["cold_start.interval_ms"] = std::to_string(to_ms(it.cold.interval));
    for (const auto& searcher : it.searchers) {
        const auto prefix = "searchers." + searcher.name + '.';
        group[prefix + "address"] = searcher.address;
        group[prefix + "availability_zone"] = searcher.zone;
        group[prefix + "state"] = name_of(searcher.state);
        group[prefix + "shards"] = text_of(searcher.shards);
    }
}

void add_service(objects& out, const service& it) {
    auto& object = out["service " + it.name];
    object["upstream_group"] = it.group;
    object["deadline_ms"] = std::to_string(to_ms(it.deadline));
    object["minimum_coverage"] = text_of(it.minimum_coverage);
    object["idempotent"] = it.idempotent ? "true" : "false";
    object["class"] = name_of(it.cls);
    object["hedge.budget_percent"] = text_of(it.hedge_budget_percent);
}

void add_sharing_rule(objects& out, const sharing_rule& it) {
    auto& object = out["sharing_rule " + it.name];
    object["upstream_group"] = it.group;
    for (const auto& share : it.callers) {
        const auto prefix = "callers." + share.caller + '.';
        object[prefix + "weight"] = std::to_string(share.weight);
        object[prefix + "floor"] = text_of(share.floor);
        object[prefix + "max_in_flight"] = std::to_string(share.max_in_flight);
    }
}

objects flatten(const configuration& config) {
    objects out;
    for (const auto& it : config.zones) {
        out["availability_zone " + it.first]["state"] = name_of(it.second.state);
    }
    for (const auto& it : config.groups) {
        add_group(out, it.second);
    }
    for (const auto& it : config.services) {
        add_service(out, it.second);
    }
    for (const auto& it : config.rules) {
        add_sharing_rule(out, it.second);
    }
    return out;
}

void add_changes(std::vector<configuration_change>& out, const std::string& object, const fields& before,
                 const fields& after) {
    auto merged = before;
    merged.insert(after.begin(), after.end());
    for (const auto& it : merged) {
        const auto old_value = before.find(it.first);
        const auto new_value = after.find(it.first);
        const auto from = old_value == before.end() ? std::string() : old_value->second;
        const auto to = new_value == after.end() ? std::string() : new_value->second;
        if (from != to) {
            out.push_back({object, it.first, from, to});
        }
    }
}

} // namespace

std::vector<configuration_change> diff(const configuration& before, const configuration& after) {
    std::vector<configuration_change> out;
    const auto before_objects = flatten(before);
    const auto after_objects = flatten(after);
    auto merged = before_objects;
    merged.insert(after_objects.begin(), after_objects.end());
    for (const auto& it : merged) {
        const auto old_object = before_objects.find(it.first);
        const auto new_object = after_objects.find(it.first);
        if (old_object == before_objects.end()) {
            out.push_back({it.first, "", "", "added"});
        } else if (new_object == after_objects.end()) {
            out.push_back({it.first, "", "removed", ""});
        } else {
            add_changes(out, it.first, old_object->second, new_object->second);
        }
    }
    return out;
}

std::string to_string(const configuration_change& it) {
    if (it.field.empty()) {
        return (it.before.empty() ? "+ " : "- ") + it.object;
    }
    const auto or_none = [](const std::string& text) { return text.empty() ? std::string("(none)") : text; };
    return "~ " + it.object + ": " + it.field + ": " + or_none(it.before) + " -> " + or_none(it.after);
}

} // namespace skylarkseam
