// JSON bodies of the platform's object API.
#pragma once

#include <skylarkseam/core/platform_object.hpp>

#include <string>

namespace skylarkseam {

/// Returns `text` percent-encoded for use as one segment of a URL path.
[[nodiscard]] std::string percent_encoded(const std::string& text);

/// Decodes an HTTP answer of the platform. A malformed body gives the status `unavailable`, with the error in
/// `detail`.
[[nodiscard]] platform_response decode_platform_answer(platform_method method, int http_status,
                                                       const std::string& body);

} // namespace skylarkseam
