// A coordinator's table of the nodes that own searchers: a stable index for each node name, and whether the
// node was recently unreachable.
#pragma once

#include <skylarkseam/core/ownership.hpp>

#include <string_view>

namespace skylarkseam {

/// Owner nodes by index. Invariant: an index always refers to the same node.
class owner_table {
public:
    static constexpr std::uint32_t none = UINT32_MAX;

    std::uint32_t add(const std::string& node) {
        const auto [at, is_new] = index_.try_emplace(node, static_cast<std::uint32_t>(owners_.size()));
        if (is_new) {
            owners_.push_back({node, {}});
        }
        return at->second;
    }

    [[nodiscard]] std::uint32_t find(std::string_view node) const {
        const auto at = index_.find(node);
        return at == index_.end() ? none : at->second;
    }

    [[nodiscard]] const std::string& name(std::uint32_t owner) const { return owners_[owner].name; }
    [[nodiscard]] std::size_t size() const { return owners_.size(); }

    void mark_unreachable(std::uint32_t owner, time_point now) {
        owners_[owner].unreachable_until = now + unreachable_backoff;
    }
    void mark_reachable(std::uint32_t owner) { owners_[owner].unreachable_until = {}; }
    [[nodiscard]] bool is_unreachable(std::uint32_t owner, time_point now) const {
        return now < owners_[owner].unreachable_until;
    }

private:
    static constexpr duration unreachable_backoff = milliseconds(500);

    struct entry {
        std::string name;
        time_point unreachable_until{};
    };
    std::map<std::string, std::uint32_t, std::less<>> index_;
    std::vector<entry> owners_;
};

} // namespace skylarkseam
