// Derives the minimum age of a platform object from its version, without any absolute time. The platform has
// one version counter for the whole store. One small object is rewritten at intervals, and its versions mark
// the passage of time for all others: an object whose version is not above a mark's is at least as old as the
// mark.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// A version of the store and the time that has been observed to pass since that version.
struct version_mark {
    std::uint64_t version = 0;
    duration age{};
    friend bool operator==(const version_mark&, const version_mark&) = default;
};

/// Invariant: marks are ordered from the newest to the oldest, by falling version and rising age.
class version_clock {
public:
    /// Highest version that is known to be at least `age` old; 0 if there is none.
    [[nodiscard]] std::uint64_t newest_version_aged(duration age) const;

    /// Adds the time that has passed since the clock's object got `own_version`, and adds a mark for that
    /// version.
    void advance(std::uint64_t own_version, duration elapsed);

    [[nodiscard]] const std::vector<version_mark>& marks() const { return marks_; }

    [[nodiscard]] std::string encode() const;
    static std::optional<version_clock> decode(const std::string& json);

private:
    void prune_marks();

    std::vector<version_mark> marks_;
};

/// Converts a version to a number; 0 if the text is not a number.
[[nodiscard]] std::uint64_t version_number(const std::string& text);

} // namespace skylarkseam
