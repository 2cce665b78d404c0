// Tables that map the values of an enumeration to their names in files, headers and logs, and back.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace skylarkseam {

template <typename Enum>
struct named_value {
    Enum value;
    std::string_view name;
};

/// Constant table of enumeration values and their names. Invariant: each value and each name is listed once.
template <typename Enum, std::size_t Size>
class name_table {
public:
    constexpr explicit name_table(std::array<named_value<Enum>, Size> entries)
        : entries_(entries) {}

    /// Returns the name of a value; "unknown" if the value is not listed.
    [[nodiscard]] constexpr std::string_view name_of(Enum value) const {
        for (const auto& it : entries_) {
            if (it.value == value) {
                return it.name;
            }
        }
        return "unknown";
    }

    [[nodiscard]] constexpr std::optional<Enum> find(std::string_view name) const {
        for (const auto& it : entries_) {
            if (it.name == name) {
                return it.value;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] constexpr const std::array<named_value<Enum>, Size>& entries() const { return entries_; }

private:
    std::array<named_value<Enum>, Size> entries_;
};

template <typename Enum, std::size_t Size>
name_table(std::array<named_value<Enum>, Size>) -> name_table<Enum, Size>;

} // namespace skylarkseam
