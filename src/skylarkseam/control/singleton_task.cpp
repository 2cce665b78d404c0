#include <skylarkseam/control/singleton_task.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace skylarkseam {

std::string singleton_task_owner(const std::vector<member>& members, std::string_view task) {
    const auto seed = XXH3_64bits(task.data(), task.size());
    const member* best = nullptr;
    XXH64_hash_t highest = 0;
    for (const auto& it : members) {
        const auto score = XXH3_64bits_withSeed(it.node.data(), it.node.size(), seed);
        if (best == nullptr || score > highest) {
            best = &it;
            highest = score;
        }
    }
    return best == nullptr ? std::string() : best->node;
}

} // namespace skylarkseam
