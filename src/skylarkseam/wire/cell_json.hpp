// The value of a cell's object in the platform.
#pragma once

#include <skylarkseam/control/cell_record.hpp>
#include <skylarkseam/core/error.hpp>

#include <string>
#include <string_view>

namespace skylarkseam {

[[nodiscard]] std::string encode_cell_record(const cell_record& record);

/// Refuses what is not of this form, and owners that are not members.
[[nodiscard]] result<cell_record> decode_cell_record(std::string_view text);

} // namespace skylarkseam
