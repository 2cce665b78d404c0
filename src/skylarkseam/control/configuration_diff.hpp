// What differs between two configurations, by object and field.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <string>
#include <vector>

namespace skylarkseam {

struct configuration_change {
    std::string object; ///< for instance "service sightings"
    std::string field;  ///< empty where the whole object was added or removed
    std::string before; ///< empty where it was added
    std::string after;  ///< empty where it was removed
    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// In the order of objects and fields; searchers and callers are matched by name.
[[nodiscard]] std::vector<configuration_change> diff(const configuration& before, const configuration& after);

/// One line: "+ OBJECT", "- OBJECT" or "~ OBJECT: FIELD: BEFORE -> AFTER".
[[nodiscard]] std::string to_string(const configuration_change& it);

} // namespace skylarkseam
