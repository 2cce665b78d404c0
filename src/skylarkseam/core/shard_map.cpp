#include <skylarkseam/core/shard_map.hpp>

#include <algorithm>

namespace skylarkseam {

std::shared_ptr<const shard_map> make_shard_map(const upstream_group& group) {
    auto map = std::make_shared<shard_map>();
    map->searchers = group.searchers;
    std::sort(map->searchers.begin(), map->searchers.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    std::map<shard_id, std::vector<shard_copy>> copies;
    for (std::uint32_t n = 0; n < map->searchers.size(); ++n) {
        const auto& shards = map->searchers[n].shards;
        for (std::uint32_t position = 0; position < shards.size(); ++position) {
            copies[shards[position]].push_back({n, position});
        }
    }
    map->shards.reserve(copies.size());
    for (auto& [shard, list] : copies) {
        map->shards.push_back({shard, std::move(list)});
    }
    return map;
}

bool same_layout(const shard_map& a, const shard_map& b) {
    return std::equal(a.searchers.begin(), a.searchers.end(), b.searchers.begin(), b.searchers.end(),
                      [](const auto& x, const auto& y) { return x.name == y.name && x.shards == y.shards; });
}

} // namespace skylarkseam
