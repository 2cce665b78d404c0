// The messages between nodes about the configuration, as msgpack.
#pragma once

#include <skylarkseam/control/configuration_message.hpp>
#include <skylarkseam/core/error.hpp>

#include <string>
#include <string_view>

namespace skylarkseam {

/// The topic of these messages on the connections between nodes.
inline constexpr const char* configuration_topic = "configuration";

[[nodiscard]] std::string encode(const any_configuration_message& message);

/// protocol_violation for what is truncated, of another version, or of the wrong form; never throws.
[[nodiscard]] result<any_configuration_message> decode_configuration_message(std::string_view bytes);

} // namespace skylarkseam
