// The nodes that own searchers, as a coordinator knows them: a stable index for each name, and whether the
// node was just found unreachable.
#pragma once

#include <skylarkseam/core/ownership.hpp>

#include <string_view>

namespace skylarkseam {

/// Invariant: an index, once given, always means the same node.
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

    void mark_lost(std::uint32_t owner, time_point now) { owners_[owner].avoid_until = now + lost_pause; }
    void mark_seen(std::uint32_t owner) { owners_[owner].avoid_until = {}; }
    [[nodiscard]] bool lost(std::uint32_t owner, time_point now) const {
        return now < owners_[owner].avoid_until;
    }

private:
    static constexpr duration lost_pause = milliseconds(500);

    struct entry {
        std::string name;
        time_point avoid_until{};
    };
    std::map<std::string, std::uint32_t, std::less<>> index_;
    std::vector<entry> owners_;
};

} // namespace skylarkseam
