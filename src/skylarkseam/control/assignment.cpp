#include <skylarkseam/control/assignment.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace skylarkseam {
namespace {

/// Size of the blocks that are spread over cells. They are smaller than the blocks within a cell to balance
/// the cells.
constexpr shard_id shards_per_cell_block = 2;
constexpr double cell_load_bound_factor = 1.1;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Searchers that get the same owner if the load bound allows it.
struct block {
    std::string key;
    std::string_view zone;
    std::uint64_t order = 0; ///< Position in the order of placement, which does not depend on the members.
    std::vector<const searcher*> searchers;
};

/// Target of the assignment: a member of a cell, or a cell.
struct bin {
    std::string_view zone;
    std::uint64_t seed = 0;
    std::size_t load = 0;
};

using searcher_filter = std::function<bool(const searcher&)>;

std::vector<block> make_blocks(const configuration& config, shard_id shards, bool by_zone,
                               const searcher_filter& included) {
    std::map<std::tuple<std::string_view, std::string_view, shard_id>, block> found;
    for (const auto& [group_name, group] : config.groups) {
        for (const auto& it : group.searchers) {
            if (!included(it)) {
                continue;
            }
            const auto index = it.shards.empty() ? 0 : it.shards.front() / shards;
            const std::string_view zone = by_zone ? std::string_view(it.zone) : std::string_view();
            found[{group_name, zone, index}].searchers.push_back(&it);
        }
    }
    std::vector<block> blocks;
    blocks.reserve(found.size());
    for (auto& [key, it] : found) {
        const auto& [group_name, zone, index] = key;
        it.key = std::string(group_name) + '\0' + std::string(zone) + '\0' + std::to_string(index);
        it.zone = zone;
        it.order = hash_of(it.key, 0);
        std::ranges::sort(it.searchers, {}, [](const searcher* one) { return one->name; });
        blocks.push_back(std::move(it));
    }
    std::ranges::sort(blocks, {}, [](const block& one) { return std::tie(one.order, one.key); });
    return blocks;
}

/// Returns the bin with the highest score for `key` among those with room for `count` more searchers, or
/// null. Without a zone, bins of all zones are considered.
bin* best_bin(std::vector<bin>& bins, std::string_view key, std::size_t count, std::size_t bound,
              std::optional<std::string_view> zone) {
    bin* best = nullptr;
    std::uint64_t best_score = 0;
    for (auto& it : bins) {
        if (it.load + count > bound || (zone && it.zone != *zone)) {
            continue;
        }
        const auto score = hash_of(key, it.seed);
        if (best == nullptr || score > best_score) {
            best = &it;
            best_score = score;
        }
    }
    return best;
}

bin* place_in_bin(std::vector<bin>& bins, std::string_view key, std::size_t count, std::size_t bound,
                  std::string_view zone) {
    auto* best = best_bin(bins, key, count, bound, zone);
    if (best == nullptr && count == 1) {
        best = best_bin(bins, key, count, bound, std::nullopt);
    }
    if (best != nullptr) {
        best->load += count;
    }
    return best;
}

std::size_t count_searchers(const std::vector<block>& blocks) {
    std::size_t n = 0;
    for (const auto& it : blocks) {
        n += it.searchers.size();
    }
    return n;
}

std::vector<bin> bins_of(const std::vector<member>& members) {
    std::vector<bin> bins;
    bins.reserve(members.size());
    for (const auto& it : members) {
        bins.push_back({it.zone, hash_of(it.node, 1), 0});
    }
    return bins;
}

ownership assign_blocks(epoch_id epoch, std::vector<member> members, const std::vector<block>& blocks) {
    std::ranges::sort(members, {}, &member::node);
    ownership owners{epoch, std::move(members), {}};
    auto bins = bins_of(owners.members);
    const auto bound = load_bound(count_searchers(blocks), bins.size());
    const auto set_owner = [&](const searcher& it, const bin& owner) {
        owners.owner_of[it.name] = owners.members[static_cast<std::size_t>(&owner - bins.data())].node;
    };
    for (const auto& it : blocks) {
        if (const auto* block_owner = place_in_bin(bins, it.key, it.searchers.size(), bound, it.zone);
            block_owner != nullptr) {
            for (const auto* one : it.searchers) {
                set_owner(*one, *block_owner);
            }
            continue;
        }
        for (const auto* one : it.searchers) {
            if (const auto* owner = place_in_bin(bins, it.key, 1, bound, it.zone); owner != nullptr) {
                set_owner(*one, *owner);
            }
        }
    }
    return owners;
}

} // namespace

std::size_t load_bound(std::size_t searchers, std::size_t members) {
    if (members == 0) {
        return 0;
    }
    const auto average = static_cast<double>(searchers) / static_cast<double>(members);
    return static_cast<std::size_t>(std::ceil(average * load_bound_factor));
}

ownership assign(epoch_id epoch, std::vector<member> members, const configuration& config) {
    return assign(epoch, std::move(members), config, 0, 1);
}

ownership assign(epoch_id epoch, std::vector<member> members, const configuration& config, std::uint32_t cell,
                 std::uint32_t cells) {
    if (cells <= 1) {
        return assign_blocks(epoch, std::move(members),
                             make_blocks(config, shards_per_block, true, [](const auto&) { return true; }));
    }
    const auto cell_of = cell_of_searchers(config, cells);
    const auto included = [&](const searcher& it) { return cell_of.at(it.name) == cell; };
    return assign_blocks(epoch, std::move(members), make_blocks(config, shards_per_block, true, included));
}

std::map<std::string, std::uint32_t, std::less<>> cell_of_searchers(const configuration& config,
                                                                    std::uint32_t cells) {
    const auto blocks = make_blocks(config, shards_per_cell_block, false, [](const auto&) { return true; });
    std::vector<bin> bins;
    for (std::uint32_t it = 0; it < cells; ++it) {
        bins.push_back({{}, hash_of("cell" + std::to_string(it), 1), 0});
    }
    const auto average = static_cast<double>(blocks.size()) / static_cast<double>(cells);
    const auto bound = static_cast<std::size_t>(std::ceil(average * cell_load_bound_factor));
    std::map<std::string, std::uint32_t, std::less<>> cell_of;
    for (const auto& it : blocks) {
        const auto* owner = place_in_bin(bins, it.key, 1, bound, {});
        for (const auto* one : it.searchers) {
            cell_of[one->name] = static_cast<std::uint32_t>(owner - bins.data());
        }
    }
    return cell_of;
}

} // namespace skylarkseam
