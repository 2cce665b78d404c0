// Exhaustive exploration of all schedules of a few steps: three gateways list and watch the store, follow
// each other and restart while the store changes. Guards against a replica that reports a revision as known
// while an entry differs from the store at that revision, for example when a late listing or an update from
// another gateway restores a removed entry.
#include <skylarkseam/gateway/store_replica.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <string>
#include <unordered_set>

using namespace skylarkseam;

namespace {

constexpr std::size_t gateway_count = 3;
const std::array<std::string, 3> searcher_names{"a", "b", "c"};

/// One change of the store: a searcher's entry, or a version of the configuration.
struct store_change {
    std::uint64_t revision = 0;
    std::string name;
    bool present = false;
    std::uint64_t version = 0; ///< Version of the configuration; 0 if the change is to a searcher's entry
};

// Two searchers and a configuration exist at the start. Then one searcher is removed, another one is added
// and the configuration changes.
const std::vector<store_change> history{{1, "a", true, 0},  {2, "b", true, 0}, {3, "", true, 7},
                                        {4, "a", false, 0}, {5, "c", true, 0}, {6, "", true, 9}};
constexpr std::size_t initial_changes = 3; ///< Number of changes made before the start

struct gateway_model {
    store_replica known{0};
    /// Positions of this gateway in the replicas of the others.
    std::array<replica_position, gateway_count> positions{};
    std::optional<std::uint64_t> listing; ///< Revision of a listing whose first page has arrived
    std::set<std::string> listed;
    std::uint64_t seen_version = 0; ///< Highest configuration version since the start
};

struct cluster_state {
    std::size_t changes = initial_changes;
    std::uint64_t last_epoch = 0;
    std::array<gateway_model, gateway_count> gateways;

    [[nodiscard]] std::uint64_t revision() const { return history[changes - 1].revision; }

    /// Last change of an entry up to a revision; nullptr if there is none.
    [[nodiscard]] static const store_change* last_change(const std::string& name, std::uint64_t revision) {
        const store_change* found = nullptr;
        for (const auto& it : history) {
            found = it.version == 0 && it.name == name && it.revision <= revision ? &it : found;
        }
        return found;
    }
};

registration registration_of(const store_change& it) {
    registration out{it.name, it.revision, std::nullopt, false};
    if (it.present) {
        out.record = searcher_record{it.name, "s", "10.0.0.1:80", "a", 4, false, {}, 1};
    }
    return out;
}

void list_entries(gateway_model& node, const cluster_state& in, std::size_t from, std::size_t to) {
    for (std::size_t n = from; n < to; ++n) {
        const auto* const change = cluster_state::last_change(searcher_names.at(n), in.revision());
        if (change != nullptr && change->present) {
            node.listed.insert(change->name);
            node.known.apply(registration_of(*change));
        }
    }
}

void apply_version(gateway_model& node, std::uint64_t version) {
    node.known.apply(routing_source{version, std::to_string(version)});
}

// Each step changes the simulated state and returns false if the step is not possible.

bool change_store(cluster_state& it) {
    if (it.changes == history.size()) {
        return false;
    }
    ++it.changes;
    return true;
}

bool begin_listing(cluster_state& it, std::size_t n) {
    auto& node = it.gateways.at(n);
    if (node.listing) {
        return false;
    }
    node.listing = it.revision();
    node.listed.clear();
    list_entries(node, it, 0, 1);
    return true;
}

bool end_listing(cluster_state& it, std::size_t n) {
    auto& node = it.gateways.at(n);
    if (!node.listing) {
        return false;
    }
    list_entries(node, it, 1, searcher_names.size());
    node.known.retain_searchers(node.listed, *node.listing, false);
    node.known.advance(store_kind::searchers, *node.listing);
    node.listing.reset();
    return true;
}

bool watch(cluster_state& it, std::size_t n) {
    auto& node = it.gateways.at(n);
    const auto from = node.known.revisions().at(static_cast<std::size_t>(store_kind::searchers));
    if (from == 0 || node.listing || from == it.revision()) {
        return false;
    }
    for (std::size_t change = 0; change < it.changes; ++change) {
        const auto& one = history[change];
        if (one.version > 0) {
            apply_version(node, one.version);
        } else if (one.revision > from) {
            node.known.apply(registration_of(one));
        }
    }
    node.known.advance(store_kind::searchers, it.revision());
    return true;
}

bool follow(cluster_state& it, std::size_t n, std::size_t other) {
    auto& node = it.gateways.at(n);
    const auto update = it.gateways.at(other).known.update_since(node.positions.at(other), {});
    if (update.empty()) {
        return false;
    }
    node.known.apply(update);
    if (update.routing) {
        node.known.apply(*update.routing);
    }
    node.positions.at(other) = {update.epoch, update.sequence, node.known.routing().version};
    return true;
}

bool restart(cluster_state& it, std::size_t n) {
    it.gateways.at(n) = gateway_model{};
    it.gateways.at(n).known = store_replica(++it.last_epoch);
    return true;
}

/// Identifies a state by everything that affects later steps, so that equal states are explored once.
std::string digest_of(const cluster_state& it) {
    std::string text = std::to_string(it.changes);
    const auto add = [&text](auto value) { text += ',' + std::to_string(value); };
    for (const auto& node : it.gateways) {
        const auto all = node.known.update_since({}, {});
        add(all.epoch);
        add(all.sequence);
        add(node.known.complete() ? 1 : 0);
        add(all.revisions.at(static_cast<std::size_t>(store_kind::searchers)));
        for (const auto& entry : all.registrations) {
            text += entry.id;
            add(entry.revision);
        }
        add(node.known.routing().version);
        add(node.listing.value_or(0));
        for (const auto& name : node.listed) {
            text += name;
        }
        for (const auto& position : node.positions) {
            add(position.epoch);
            add(position.sequence);
            add(position.routing_version);
        }
    }
    return text;
}

/// Describes a violated invariant; empty if all invariants hold.
std::string violation_of(cluster_state& it) {
    for (auto& node : it.gateways) {
        if (node.known.routing().version < node.seen_version) {
            return "the configuration version decreased without a restart";
        }
        node.seen_version = node.known.routing().version;
        const auto all = node.known.update_since({}, {});
        const auto up_to = all.revisions.at(static_cast<std::size_t>(store_kind::searchers));
        if (node.known.complete() != (up_to > 0)) {
            return "complete without a known revision, or a known revision without being complete";
        }
        for (const auto& name : searcher_names) {
            const auto* const change = cluster_state::last_change(name, up_to);
            const auto entry = std::find_if(all.registrations.begin(), all.registrations.end(),
                                            [&](const auto& one) { return one.id == name; });
            const bool known = entry != all.registrations.end();
            if (known && entry->revision > up_to) {
                continue; // The replica has a later change of this entry.
            }
            const bool here = known && entry->record.has_value();
            if (here != (change != nullptr && change->present)) {
                return "entry " + name + " differs from the store at revision " + std::to_string(up_to);
            }
        }
    }
    return {};
}

using step = std::function<bool(cluster_state&)>;

std::vector<std::pair<std::string, step>> all_steps() {
    std::vector<std::pair<std::string, step>> steps{{"change", &change_store}};
    for (std::size_t n = 0; n < gateway_count; ++n) {
        const auto who = std::to_string(n);
        steps.emplace_back("list" + who, [n](cluster_state& it) { return begin_listing(it, n); });
        steps.emplace_back("end" + who, [n](cluster_state& it) { return end_listing(it, n); });
        steps.emplace_back("watch" + who, [n](cluster_state& it) { return watch(it, n); });
        steps.emplace_back("start" + who, [n](cluster_state& it) { return restart(it, n); });
        const auto other = (n + 1) % gateway_count;
        steps.emplace_back("follow" + who, [n, other](cluster_state& it) { return follow(it, n, other); });
    }
    return steps;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_replica_schedules)

BOOST_AUTO_TEST_CASE(every_replica_matches_the_store_at_its_known_revision) {
    constexpr std::size_t depth = 7;
    cluster_state begin;
    for (std::size_t n = 0; n < gateway_count; ++n) {
        restart(begin, n);
    }
    const auto steps = all_steps();
    std::unordered_set<std::string> seen{digest_of(begin)};
    std::deque<std::pair<cluster_state, std::string>> frontier{{begin, ""}};
    for (std::size_t level = 0; level < depth; ++level) {
        std::deque<std::pair<cluster_state, std::string>> next;
        for (const auto& [from, path] : frontier) {
            for (const auto& [name, apply] : steps) {
                auto to = from;
                if (!apply(to)) {
                    continue;
                }
                auto taken = path;
                taken.append(" ").append(name);
                const auto violation = violation_of(to);
                BOOST_REQUIRE_MESSAGE(violation.empty(), taken << ": " << violation);
                if (seen.insert(digest_of(to)).second && level + 1 < depth) {
                    next.emplace_back(std::move(to), std::move(taken));
                }
            }
        }
        frontier = std::move(next);
    }
    BOOST_TEST(seen.size() > 10'000U);
    BOOST_TEST_MESSAGE(seen.size() << " states");
}

BOOST_AUTO_TEST_SUITE_END()
