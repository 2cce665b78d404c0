// Encoding of the configuration messages between nodes in MessagePack.
#pragma once

#include <skylarkseam/control/configuration_message.hpp>
#include <skylarkseam/core/error.hpp>

#include <string>
#include <string_view>

namespace skylarkseam {

/// Topic of the configuration messages on connections between nodes.
inline constexpr const char* configuration_topic = "configuration";

[[nodiscard]] std::string encode(const any_configuration_message& message);

/// Decodes a message. Returns protocol_violation if the bytes are truncated, of another version or malformed;
/// never throws.
[[nodiscard]] result<any_configuration_message> decode_configuration_message(std::string_view bytes);

} // namespace skylarkseam
