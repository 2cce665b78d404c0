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
constexpr double max_percent = 100.0;
constexpr double floor_tolerance = 1e-9;

/// File and line of the first definition of a name or address.
struct definition {
    std::string file;
    int line = 0;
};

std::string to_string(const definition& it) {
    return it.line > 0 ? it.file + ':' + std::to_string(it.line) : it.file;
}

/// Reference to an object that may be defined in a later document; resolved after all documents are read.
struct reference {
    std::string target;
    document_location location;
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
            read_object(item, document_location{it.file, "", &faults_}.item(n));
            ++n;
        }
    }

    configuration finish() {
        resolve(zone_references_, config_.zones, "availability_zone");
        resolve(group_references_, config_.groups, "upstream_group");
        return std::move(config_);
    }

private:
    void read_object(const document_node& node, document_location location) {
        map_reader reader(node, location);
        if (node.kind != document_node::node_kind::map) {
            return;
        }
        std::string kind;
        std::string name;
        reader.text("kind", kind);
        reader.name("name", name);
        location.field = kind + (name.empty() ? "" : " " + name) + ':';
        map_reader object(node, location);
        object.mark_known("kind");
        object.mark_known("name");
        if (!read_object_of_kind(kind, name, object)) {
            if (!kind.empty()) {
                object.location().member("kind").add_fault(
                    object.node_for("kind"),
                    "must be one of availability_zone, upstream_group, service, sharing_rule, not '" + kind +
                        "'");
            }
            return;
        }
        object.finish();
    }

    bool read_object_of_kind(const std::string& kind, const std::string& name, map_reader& object) {
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
        register_name("availability_zone", name, object);
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
                cold.location().member("slots").add_fault(cold.node_for("slots"),
                                                          "must be at most the group's slots (" +
                                                              std::to_string(group.slots) + ')');
            }
        });
        if (group.connections < group.slots) {
            object.location()
                .member("connections")
                .add_fault(object.node_for("connections"),
                           "must be at least the group's slots (" + std::to_string(group.slots) + ')');
        }
        object.items("searchers", presence::required,
                     [&](const document_node& node, const document_location& location) {
                         group.searchers.push_back(read_searcher(node, location));
                     });
        if (group.searchers.empty() &&
            object.node_for("searchers").kind == document_node::node_kind::sequence) {
            object.location()
                .member("searchers")
                .add_fault(object.node_for("searchers"), "must not be empty");
        }
        register_name("upstream_group", name, object);
        config_.groups.emplace(name, std::move(group));
    }

    searcher read_searcher(const document_node& node, const document_location& location) {
        searcher it;
        map_reader reader(node, location);
        reader.name("name", it.name);
        reader.address("address", it.address, presence::required);
        reader.name("availability_zone", it.zone);
        read_state(reader, it.state);
        reader.items("shards", presence::required,
                     [&](const document_node& shard, const document_location& shard_location) {
                         read_shard(shard, shard_location, it.shards);
                     });
        if (it.shards.empty() && reader.node_for("shards").kind == document_node::node_kind::sequence &&
            reader.node_for("shards").items.empty()) {
            location.member("shards").add_fault(reader.node_for("shards"), "must not be empty");
        }
        std::sort(it.shards.begin(), it.shards.end());
        reader.finish();
        check_unique(searcher_names_, it.name, location.member("name"), reader.node_for("name"));
        check_unique(addresses_, it.address, location.member("address"), reader.node_for("address"));
        add_reference(zone_references_, it.zone, location.member("availability_zone"),
                      reader.node_for("availability_zone"));
        return it;
    }

    static void read_shard(const document_node& node, const document_location& location,
                           std::vector<shard_id>& out) {
        const auto value = read_integer(node);
        if (!value || *value < shard_range.min || *value > shard_range.max) {
            location.add_fault(node, "must be a whole number from " + std::to_string(shard_range.min) +
                                         " to " + std::to_string(shard_range.max));
            return;
        }
        const auto shard = static_cast<shard_id>(*value);
        if (std::find(out.begin(), out.end(), shard) != out.end()) {
            location.add_fault(node, "shard " + std::to_string(shard) + " is listed twice");
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
            hedge.number("budget_percent", it.hedge_budget_percent, 0.0, max_percent);
        });
        add_reference(group_references_, it.group, object.location().member("upstream_group"),
                      object.node_for("upstream_group"));
        register_name("service", name, object);
        config_.services.emplace(name, std::move(it));
    }

    void read_rule(const std::string& name, map_reader& object) {
        sharing_rule rule;
        rule.name = name;
        object.name("upstream_group", rule.group);
        double floor_sum = 0.0;
        std::map<std::string, definition, std::less<>> callers;
        object.items("callers", presence::required,
                     [&](const document_node& node, const document_location& location) {
                         auto share = read_share(node, location);
                         if (const auto* name_node = node.find("name")) {
                             check_unique(callers, share.caller, location.member("name"), *name_node);
                         }
                         floor_sum += share.floor;
                         rule.callers.push_back(std::move(share));
                     });
        const auto& list = object.node_for("callers");
        if (floor_sum > 1.0 + floor_tolerance) {
            object.location().member("callers").add_fault(list, "the floors sum to more than 1");
        }
        if (rule.callers.empty() && list.kind == document_node::node_kind::sequence) {
            object.location().member("callers").add_fault(list, "must not be empty");
        }
        const auto location = object.location().member("upstream_group");
        check_unique(groups_with_rule_, rule.group, location, object.node_for("upstream_group"),
                     "has a sharing rule already");
        add_reference(group_references_, rule.group, location, object.node_for("upstream_group"));
        register_name("sharing_rule", name, object);
        config_.rules.emplace(name, std::move(rule));
    }

    static caller_share read_share(const document_node& node, const document_location& location) {
        caller_share share;
        map_reader reader(node, location);
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

    void register_name(const std::string& kind, const std::string& name, const map_reader& object) {
        auto& seen = objects_[kind];
        check_unique(seen, name, object.location().member("name"), object.node_for("name"));
    }

    /// Adds a fault if `key` was seen before. An empty `key` is ignored, since its fault was added when it
    /// was read.
    static void check_unique(std::map<std::string, definition, std::less<>>& seen, const std::string& key,
                             const document_location& location, const document_node& node,
                             const std::string& text = "is used already") {
        if (key.empty()) {
            return;
        }
        const auto added = seen.try_emplace(key, definition{location.file, node.line});
        if (!added.second) {
            const auto first_definition = to_string(added.first->second);
            location.add_fault(node, '\'' + key + "' " + text +
                                         (first_definition.empty() ? "" : ", at " + first_definition));
        }
    }

    static void add_reference(std::vector<reference>& references, const std::string& target,
                              document_location location, const document_node& node) {
        if (!target.empty()) {
            references.push_back({target, std::move(location), node.line});
        }
    }

    template <typename Objects>
    void resolve(const std::vector<reference>& references, const Objects& objects, const std::string& kind) {
        for (const auto& it : references) {
            if (!objects.contains(it.target)) {
                faults_.add(it.location.file, it.line, it.location.field,
                            "there is no " + kind + " '" + it.target + '\'');
            }
        }
    }

    using definitions = std::map<std::string, definition, std::less<>>;

    fault_list& faults_;
    configuration config_;
    std::map<std::string, definitions, std::less<>> objects_; ///< Definitions by kind and name.
    definitions searcher_names_;
    definitions addresses_;
    definitions groups_with_rule_;
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
