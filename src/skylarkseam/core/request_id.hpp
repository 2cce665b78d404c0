// Request id of one attempt. It is unique across all nodes and incarnations, and the searcher echoes it.
#pragma once

#include <skylarkseam/core/subquery.hpp>

#include <string>
#include <string_view>

namespace skylarkseam {

[[nodiscard]] inline std::string request_id_of(std::string_view coordinator, query_id query,
                                               std::uint32_t attempt) {
    std::string id(coordinator);
    id += '/';
    id += std::to_string(query);
    id += '/';
    id += std::to_string(attempt);
    return id;
}

} // namespace skylarkseam
