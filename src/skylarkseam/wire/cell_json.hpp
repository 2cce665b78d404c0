// JSON encoding of a cell record, which is the value of the cell's object in the platform.
#pragma once

#include <skylarkseam/control/cell_record.hpp>
#include <skylarkseam/core/error.hpp>

#include <string>
#include <string_view>

namespace skylarkseam {

[[nodiscard]] std::string encode_cell_record(const cell_record& record);

/// Decodes a record. Returns protocol_violation for text of another format or structure. Searchers are listed
/// under the member that owns them, so a decoded record has no owner that is not a member.
[[nodiscard]] result<cell_record> decode_cell_record(std::string_view text);

} // namespace skylarkseam
