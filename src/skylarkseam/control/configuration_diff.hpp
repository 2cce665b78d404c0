// Differences between two configurations, by object and field.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <string>
#include <vector>

namespace skylarkseam {

struct configuration_change {
    std::string object; ///< Kind and name of the object, for instance "service sightings".
    std::string field;  ///< Name of the field; empty if the whole object was added or removed.
    std::string before; ///< Old value; empty if the object or field was added.
    std::string after;  ///< New value; empty if the object or field was removed.
    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// Returns the changes sorted by object and field. Searchers and callers are matched by name.
[[nodiscard]] std::vector<configuration_change> diff(const configuration& before, const configuration& after);

/// Formats a change as one line: "+ OBJECT", "- OBJECT" or "~ OBJECT: FIELD: BEFORE -> AFTER".
[[nodiscard]] std::string to_string(const configuration_change& it);

} // namespace skylarkseam
