// Merges the records of several shards and keeps the greatest ones.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace skylarkseam {

constexpr std::size_t record_bytes = 16; ///< Size of a record in a shard's answer.

/// Returns the greatest `limit` records of all parts, greatest first, compared byte by byte as unsigned
/// values. Equal records are all kept; a trailing fragment shorter than a record is ignored.
[[nodiscard]] std::string greatest_records(std::span<const std::string_view> parts, std::size_t limit);

/// Reduces one part to the records that can be among the greatest `limit` records of a merge.
void keep_greatest_records(std::string& part, std::size_t limit);

} // namespace skylarkseam
