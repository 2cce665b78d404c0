// Canonical JSON encoding of a configuration: one line for each object and each searcher, with the objects of
// each kind sorted by name. Equal configurations have equal texts, and a small change affects few lines.
#pragma once

#include <skylarkseam/control/configuration_head.hpp>

namespace skylarkseam {

/// Returns the canonical text of a configuration without its generation.
[[nodiscard]] std::string encode_configuration(const configuration& config);

/// Decodes a canonical text and validates it as completely as an operator's file.
[[nodiscard]] result<std::shared_ptr<const configuration>>
decode_configuration_text(std::string_view body, generation_id generation);

/// Returns the codec for the values stored in the platform: heads, bodies and pieces as JSON.
[[nodiscard]] const configuration_codec& json_configuration_codec();

/// Returns the head of this configuration. It contains the body if that is short enough; otherwise it lists
/// the hashes of the pieces into which the body is split.
[[nodiscard]] configuration_head make_configuration_head(const configuration& config, std::string token);

} // namespace skylarkseam
