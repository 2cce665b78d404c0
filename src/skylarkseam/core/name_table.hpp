// Tables that pair the values of an enumeration with the names used in files, headers and logs.
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

/// A constant table from value to name and back. Invariant: each value and each name stands once.
template <typename Enum, std::size_t Size>
class name_table {
public:
    constexpr explicit name_table(std::array<named_value<Enum>, Size> entries)
        : entries_(entries) {}

    /// The name of a value; "unknown" for one that is not listed.
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
