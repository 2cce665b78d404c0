// Every schedule of a few steps, of gateways that list and watch the store, follow each other and start again
// while the store changes: what a gateway believes to know, it knows.
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

constexpr std::size_t gateways = 3;
const std::array<std::string, 3> names{"a", "b", "c"};

/// One change of the store: a searcher's entry, or a version of the configuration.
struct store_change {
    std::uint64_t revision = 0;
    std::string name;
    bool present = false;
    std::uint64_t version = 0; ///< above 0: a configuration
};

// A searcher leaves and another one comes, with a new configuration between, after two were there at first.
const std::vector<store_change> history{{1, "a", true, 0},  {2, "b", true, 0}, {3, "", true, 7},
                                        {4, "a", false, 0}, {5, "c", true, 0}, {6, "", true, 9}};
constexpr std::size_t before_the_start = 3; ///< changes that were made by then

struct gateway_model {
    store_replica known{0};
    std::array<replica_position, gateways> at{}; ///< where it stands at the others
    std::optional<std::uint64_t> listing;        ///< revision of a listing of which one page is in
    std::set<std::string> listed;
    std::uint64_t seen_version = 0; ///< highest in this lifetime
};

struct world {
    std::size_t changes = before_the_start;
    std::uint64_t last_epoch = 0;
    std::array<gateway_model, gateways> nodes;

    [[nodiscard]] std::uint64_t revision() const { return history[changes - 1].revision; }

    /// The last change of an entry up to a revision; nullptr where there is none.
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

void take_names(gateway_model& node, const world& in, std::size_t from, std::size_t to) {
    for (std::size_t n = from; n < to; ++n) {
        const auto* const change = world::last_change(names.at(n), in.revision());
        if (change != nullptr && change->present) {
            node.listed.insert(change->name);
            node.known.apply(registration_of(*change));
        }
    }
}

void take_version(gateway_model& node, std::uint64_t version) {
    node.known.apply(routing_source{version, std::to_string(version)});
}

// Each step changes the world; false where it does not apply.

bool change_store(world& it) {
    if (it.changes == history.size()) {
        return false;
    }
    ++it.changes;
    return true;
}

bool begin_listing(world& it, std::size_t n) {
    auto& node = it.nodes.at(n);
    if (node.listing) {
        return false;
    }
    node.listing = it.revision();
    node.listed.clear();
    take_names(node, it, 0, 1);
    return true;
}

bool end_listing(world& it, std::size_t n) {
    auto& node = it.nodes.at(n);
    if (!node.listing) {
        return false;
    }
    take_names(node, it, 1, names.size());
    node.known.retain_searchers(node.listed, *node.listing, false);
    node.known.advance(store_kind::searchers, *node.listing);
    node.listing.reset();
    return true;
}

bool watch(world& it, std::size_t n) {
    auto& node = it.nodes.at(n);
    const auto from = node.known.revisions().at(static_cast<std::size_t>(store_kind::searchers));
    if (from == 0 || node.listing || from == it.revision()) {
        return false;
    }
    for (std::size_t change = 0; change < it.changes; ++change) {
        const auto& one = history[change];
        if (one.version > 0) {
            take_version(node, one.version);
        } else if (one.revision > from) {
            node.known.apply(registration_of(one));
        }
    }
    node.known.advance(store_kind::searchers, it.revision());
    return true;
}

bool follow(world& it, std::size_t n, std::size_t other) {
    auto& node = it.nodes.at(n);
    const auto update = it.nodes.at(other).known.update_since(node.at.at(other), {});
    if (update.empty()) {
        return false;
    }
    node.known.apply(update);
    if (update.routing) {
        node.known.apply(*update.routing);
    }
    node.at.at(other) = {update.epoch, update.sequence, node.known.routing().version};
    return true;
}

bool start_again(world& it, std::size_t n) {
    it.nodes.at(n) = gateway_model{};
    it.nodes.at(n).known = store_replica(++it.last_epoch);
    return true;
}

/// Everything that decides what can follow.
std::string digest_of(const world& it) {
    std::string text = std::to_string(it.changes);
    const auto add = [&text](auto value) { text += ',' + std::to_string(value); };
    for (const auto& node : it.nodes) {
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
        for (const auto& at : node.at) {
            add(at.epoch);
            add(at.sequence);
            add(at.routing_version);
        }
    }
    return text;
}

/// Names what is wrong; empty where the promises hold.
std::string fault_of(world& it) {
    for (auto& node : it.nodes) {
        if (node.known.routing().version < node.seen_version) {
            return "a version went back within a lifetime";
        }
        node.seen_version = node.known.routing().version;
        const auto all = node.known.update_since({}, {});
        const auto up_to = all.revisions.at(static_cast<std::size_t>(store_kind::searchers));
        if (node.known.complete() != (up_to > 0)) {
            return "complete without a revision, or the reverse";
        }
        for (const auto& name : names) {
            const auto* const change = world::last_change(name, up_to);
            const auto entry = std::find_if(all.registrations.begin(), all.registrations.end(),
                                            [&](const auto& one) { return one.id == name; });
            const bool known = entry != all.registrations.end();
            if (known && entry->revision > up_to) {
                continue; // it knows of something later
            }
            const bool here = known && entry->record.has_value();
            if (here != (change != nullptr && change->present)) {
                return "entry " + name + " is not what it was at revision " + std::to_string(up_to);
            }
        }
    }
    return {};
}

using step = std::function<bool(world&)>;

std::vector<std::pair<std::string, step>> all_steps() {
    std::vector<std::pair<std::string, step>> steps{{"change", &change_store}};
    for (std::size_t n = 0; n < gateways; ++n) {
        const auto who = std::to_string(n);
        steps.emplace_back("list" + who, [n](world& it) { return begin_listing(it, n); });
        steps.emplace_back("end" + who, [n](world& it) { return end_listing(it, n); });
        steps.emplace_back("watch" + who, [n](world& it) { return watch(it, n); });
        steps.emplace_back("start" + who, [n](world& it) { return start_again(it, n); });
        const auto other = (n + 1) % gateways;
        steps.emplace_back("follow" + who, [n, other](world& it) { return follow(it, n, other); });
    }
    return steps;
}

} // namespace

BOOST_AUTO_TEST_SUITE(in_every_schedule)

BOOST_AUTO_TEST_CASE(a_gateway_knows_what_it_believes_to_know) {
    constexpr std::size_t depth = 7;
    world begin;
    for (std::size_t n = 0; n < gateways; ++n) {
        start_again(begin, n);
    }
    const auto steps = all_steps();
    std::unordered_set<std::string> seen{digest_of(begin)};
    std::deque<std::pair<world, std::string>> frontier{{begin, ""}};
    for (std::size_t level = 0; level < depth; ++level) {
        std::deque<std::pair<world, std::string>> next;
        for (const auto& [from, path] : frontier) {
            for (const auto& [name, apply] : steps) {
                auto to = from;
                if (!apply(to)) {
                    continue;
                }
                auto taken = path;
                taken.append(" ").append(name);
                const auto fault = fault_of(to);
                BOOST_REQUIRE_MESSAGE(fault.empty(), taken << ": " << fault);
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
