// The canonical JSON of a configuration: one line for each object and each searcher, in the order of names,
// so that equal configurations have equal texts, and a small change changes few lines.
#pragma once

#include <skylarkseam/control/configuration_head.hpp>

namespace skylarkseam {

/// The canonical text of a configuration without its generation.
[[nodiscard]] std::string encode_configuration(const configuration& config);

/// Decodes and checks a canonical text again, completely.
[[nodiscard]] result<std::shared_ptr<const configuration>>
decode_configuration_text(std::string_view body, generation_id generation);

/// What the platform holds: heads, bodies and pieces as JSON values.
[[nodiscard]] const configuration_codec& json_configuration_codec();

/// A head for this configuration. A body that is too long stays out of it: it goes into pieces.
[[nodiscard]] configuration_head make_configuration_head(const configuration& config, std::string token);

} // namespace skylarkseam
