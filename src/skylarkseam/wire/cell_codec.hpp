// Encoding of the messages between the nodes of a cell in MessagePack.
#pragma once

#include <skylarkseam/control/cell_message.hpp>
#include <skylarkseam/core/error.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// Encodes a batch of messages from one sender to one receiver.
[[nodiscard]] std::string encode(const std::vector<cell_envelope>& messages);

[[nodiscard]] result<std::vector<cell_envelope>> decode_cell_messages(std::string_view bytes);

} // namespace skylarkseam
