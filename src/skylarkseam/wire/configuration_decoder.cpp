#include <skylarkseam/wire/configuration_decoder.hpp>
#include <skylarkseam/wire/document_reader.hpp>

#include <algorithm>
#include <map>

namespace skylarkseam {
namespace {

constexpr integer_range slot_range{1, 100'000};
constexpr integer_range connection_range{1, 1'000'000};
constexpr integer_range shard_range{0, 1'000'000};
constexpr integer_range deadline_range_ms{1, 600'000};
constexpr integer_range interval_range_ms{1, 3'600'000};
constexpr integer_range weight_range{1, 1'000'000};
constexpr integer_range in_flight_range{0, 1'000'000};
constexpr double most_percent = 100.0;
constexpr double floor_tolerance = 1e-9;

/// Where something was first defined.
struct definition {
    std::string file;
    int line = 0;
};

std::string to_text(const definition& it) {
    return it.line > 0 ? it.file + ':' + std::to_string(it.line) : it.file;
}

/// A reference to an object that may be defined in a later document.
struct reference {
    std::string target;
    document_place place;
    int line = 0;
};

class decoder {
public:
    explicit decoder(fault_list& faults)
        : faults_(faults) {}

    void read_document(const document& it) {
        if (it.root.kind != document_node::node_kind::sequence) {
            read_object(it.root, {it.file, "", &faults_});
            return;
        }
        std::size_t n = 0;
        for (const auto& item : it.root.items) {
            read_object(item, document_place{it.file, "", &faults_}.item(n));
            ++n;
        }
    }

    configuration finish() {
        resolve(zone_references_, config_.zones, "availability_zone");
        resolve(group_references_, config_.groups, "upstream_group");
        return std::move(config_);
    }

private:
    void read_object(const document_node& node, document_place place) {
        map_reader reader(node, place);
        if (node.kind != document_node::node_kind::map) {
            return;
        }
        std::string kind;
        std::string name;
        reader.text("kind", kind);
        reader.name("name", name);
        place.field = kind + (name.empty() ? "" : " " + name) + ':';
        map_reader object(node, place);
        object.allow("kind");
        object.allow("name");
        if (!read_kind(kind, name, object)) {
            if (!kind.empty()) {
                object.place().member("kind").fault(
                    object.at("kind"),
                    "must be one of availability_zone, upstream_group, service, sharing_rule, not '" + kind +
                        "'");
            }
            return;
        }
        object.finish();
    }

    bool read_kind(const std::string& kind, const std::string& name, map_reader& object) {
        if (kind == "availability_zone") {
            read_zone(name, object);
        } else if (kind == "upstream_group") {
            read_group(name, object);
        } else if (kind == "service") {
            read_service(name, object);
        } else if (kind == "sharing_rule") {
            read_rule(name, object);
        } else {
            return false;
        }
        return true;
    }

    void read_zone(const std::string& name, map_reader& object) {
        availability_zone zone;
        zone.name = name;
        read_state(object, zone.state);
        define("availability_zone", name, object);
        config_.zones.emplace(name, std::move(zone));
    }

    void read_group(const std::string& name, map_reader& object) {
        upstream_group group;
        group.name = name;
        object.integer("slots", group.slots, slot_range, presence::required);
        object.integer("connections", group.connections, connection_range, presence::required);
        object.section("cold_start", presence::optional, [&](map_reader& cold) {
            cold.integer("slots", group.cold.slots, slot_range);
            cold.integer("step", group.cold.step, slot_range);
            cold.time_ms("interval_ms", group.cold.interval, interval_range_ms);
            if (group.cold.slots > group.slots) {
                cold.place().member("slots").fault(cold.at("slots"), "must be at most the group's slots (" +
                                                                         std::to_string(group.slots) + ')');
            }
        });
        if (group.connections < group.slots) {
            object.place()
                .member("connections")
                .fault(object.at("connections"),
                       "must be at least the group's slots (" + std::to_string(group.slots) + ')');
        }
        object.items("searchers", presence::required,
                     [&](const document_node& node, const document_place& place) {
                         group.searchers.push_back(read_searcher(node, place));
                     });
        if (group.searchers.empty() && object.at("searchers").kind == document_node::node_kind::sequence) {
            object.place().member("searchers").fault(object.at("searchers"), "must not be empty");
        }
        define("upstream_group", name, object);
        config_.groups.emplace(name, std::move(group));
    }

    searcher read_searcher(const document_node& node, const document_place& place) {
        searcher it;
        map_reader reader(node, place);
        reader.name("name", it.name);
        reader.address("address", it.address, presence::required);
        reader.name("availability_zone", it.zone);
        read_state(reader, it.state);
        reader.items("shards", presence::required,
                     [&](const document_node& shard, const document_place& where) {
                         read_shard(shard, where, it.shards);
                     });
        if (it.shards.empty() && reader.at("shards").kind == document_node::node_kind::sequence &&
            reader.at("shards").items.empty()) {
            place.member("shards").fault(reader.at("shards"), "must not be empty");
        }
        std::sort(it.shards.begin(), it.shards.end());
        reader.finish();
        unique(searcher_names_, it.name, place.member("name"), reader.at("name"));
        unique(addresses_, it.address, place.member("address"), reader.at("address"));
        refer(zone_references_, it.zone, place.member("availability_zone"), reader.at("availability_zone"));
        return it;
    }

    static void read_shard(const document_node& node, const document_place& place,
                           std::vector<shard_id>& out) {
        const auto value = read_integer(node);
        if (!value || *value < shard_range.least || *value > shard_range.most) {
            place.fault(node, "must be a whole number from " + std::to_string(shard_range.least) + " to " +
                                  std::to_string(shard_range.most));
            return;
        }
        const auto shard = static_cast<shard_id>(*value);
        if (std::find(out.begin(), out.end(), shard) != out.end()) {
            place.fault(node, "shard " + std::to_string(shard) + " is listed twice");
            return;
        }
        out.push_back(shard);
    }

    void read_service(const std::string& name, map_reader& object) {
        service it;
        it.name = name;
        object.name("upstream_group", it.group);
        object.time_ms("deadline_ms", it.deadline, deadline_range_ms, presence::required);
        object.number("minimum_coverage", it.minimum_coverage, 0.0, 1.0);
        object.boolean("idempotent", it.idempotent);
        object.choice("class", "urgent, interactive, deferrable", [&](std::string_view text) {
            const auto found = find_request_class(text);
            it.cls = found.value_or(it.cls);
            return found.has_value();
        });
        object.section("hedge", presence::optional, [&](map_reader& hedge) {
            hedge.number("budget_percent", it.hedge_budget_percent, 0.0, most_percent);
        });
        refer(group_references_, it.group, object.place().member("upstream_group"),
              object.at("upstream_group"));
        define("service", name, object);
        config_.services.emplace(name, std::move(it));
    }

    void read_rule(const std::string& name, map_reader& object) {
        sharing_rule rule;
        rule.name = name;
        object.name("upstream_group", rule.group);
        double floors = 0.0;
        std::map<std::string, definition, std::less<>> callers;
        object.items("callers", presence::required,
                     [&](const document_node& node, const document_place& place) {
                         auto share = read_share(node, place);
                         if (const auto* name_node = node.find("name")) {
                             unique(callers, share.caller, place.member("name"), *name_node);
                         }
                         floors += share.floor;
                         rule.callers.push_back(std::move(share));
                     });
        const auto& list = object.at("callers");
        if (floors > 1.0 + floor_tolerance) {
            object.place().member("callers").fault(list, "the floors sum to more than 1");
        }
        if (rule.callers.empty() && list.kind == document_node::node_kind::sequence) {
            object.place().member("callers").fault(list, "must not be empty");
        }
        const auto place = object.place().member("upstream_group");
        unique(ruled_groups_, rule.group, place, object.at("upstream_group"), "has a sharing rule already");
        refer(group_references_, rule.group, place, object.at("upstream_group"));
        define("sharing_rule", name, object);
        config_.rules.emplace(name, std::move(rule));
    }

    static caller_share read_share(const document_node& node, const document_place& place) {
        caller_share share;
        map_reader reader(node, place);
        reader.name("name", share.caller);
        reader.integer("weight", share.weight, weight_range);
        reader.number("floor", share.floor, 0.0, 1.0);
        reader.integer("max_in_flight", share.max_in_flight, in_flight_range);
        reader.finish();
        return share;
    }

    static void read_state(map_reader& reader, service_state& out) {
        reader.choice("state", "in, out", [&](std::string_view text) {
            const auto found = find_service_state(text);
            out = found.value_or(out);
            return found.has_value();
        });
    }

    void define(const std::string& kind, const std::string& name, const map_reader& object) {
        auto& seen = objects_[kind];
        unique(seen, name, object.place().member("name"), object.at("name"));
    }

    /// Adds a fault if `key` was seen before; an empty one was reported already.
    static void unique(std::map<std::string, definition, std::less<>>& seen, const std::string& key,
                       const document_place& place, const document_node& node,
                       const std::string& text = "is used already") {
        if (key.empty()) {
            return;
        }
        const auto added = seen.try_emplace(key, definition{place.file, node.line});
        if (!added.second) {
            const auto where = to_text(added.first->second);
            place.fault(node, '\'' + key + "' " + text + (where.empty() ? "" : ", at " + where));
        }
    }

    static void refer(std::vector<reference>& references, const std::string& target, document_place place,
                      const document_node& node) {
        if (!target.empty()) {
            references.push_back({target, std::move(place), node.line});
        }
    }

    template <typename Objects>
    void resolve(const std::vector<reference>& references, const Objects& objects, const std::string& kind) {
        for (const auto& it : references) {
            if (!objects.contains(it.target)) {
                faults_.add(it.place.file, it.line, it.place.field,
                            "there is no " + kind + " '" + it.target + '\'');
            }
        }
    }

    using definitions = std::map<std::string, definition, std::less<>>;

    fault_list& faults_;
    configuration config_;
    std::map<std::string, definitions, std::less<>> objects_; ///< by kind and name
    definitions searcher_names_;
    definitions addresses_;
    definitions ruled_groups_;
    std::vector<reference> zone_references_;
    std::vector<reference> group_references_;
};

} // namespace

configuration decode_configuration(const std::vector<document>& documents, fault_list& faults) {
    decoder it(faults);
    for (const auto& doc : documents) {
        it.read_document(doc);
    }
    if (documents.empty() && faults.empty()) {
        faults.add("", 0, "", "the configuration has no objects");
    }
    return it.finish();
}

} // namespace skylarkseam
