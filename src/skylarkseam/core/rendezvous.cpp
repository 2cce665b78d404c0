#include <skylarkseam/core/rendezvous.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace skylarkseam {

std::uint64_t rendezvous_weight(std::string_view key, std::uint64_t candidate) {
    return XXH64(key.data(), key.size(), candidate);
}

std::uint64_t name_hash(std::string_view name) {
    return XXH64(name.data(), name.size(), 0);
}

} // namespace skylarkseam
