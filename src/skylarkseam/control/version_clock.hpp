// Tells the least age of a platform object from its version, without any absolute time. The platform counts
// one version for the whole store, so one small object that is rewritten now and then marks the passing of
// time for all others: what has a version up to a mark is at least as old as the mark.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// A version of the store and the time that was observed to pass since it.
struct version_mark {
    std::uint64_t version = 0;
    duration age{};
    friend bool operator==(const version_mark&, const version_mark&) = default;
};

/// Invariant: marks are ordered from the newest to the oldest; versions fall and ages rise.
class version_clock {
public:
    /// The highest version that is at least `age` old; 0 where none is known to be.
    [[nodiscard]] std::uint64_t at_least(duration age) const;

    /// Counts time that passed since the clock's object got `own_version`, and marks that version.
    void advance(std::uint64_t own_version, duration elapsed);

    [[nodiscard]] const std::vector<version_mark>& marks() const { return marks_; }

    [[nodiscard]] std::string encode() const;
    static std::optional<version_clock> decode(const std::string& json);

private:
    void thin_out();

    std::vector<version_mark> marks_;
};

/// A version as a number; 0 where the text is not one.
[[nodiscard]] std::uint64_t version_number(const std::string& text);

} // namespace skylarkseam
