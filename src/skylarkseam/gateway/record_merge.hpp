// Merges the records of several shards into the greatest ones.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace skylarkseam {

constexpr std::size_t record_bytes = 16; ///< the size of a record in the answers of shards

/// The greatest `limit` records of all parts, greatest first, compared byte by byte as unsigned values. Equal
/// records all count; a remainder that is shorter than a record is none.
[[nodiscard]] std::string greatest_records(std::span<const std::string_view> parts, std::size_t limit);

/// Leaves of one part what can be among the greatest `limit` records of any merge.
void keep_greatest_records(std::string& part, std::size_t limit);

} // namespace skylarkseam
