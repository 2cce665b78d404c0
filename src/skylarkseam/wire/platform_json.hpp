// The bodies of the platform's object API.
#pragma once

#include <skylarkseam/core/platform_object.hpp>

#include <string>

namespace skylarkseam {

/// A text as one segment of a URL's path.
[[nodiscard]] std::string percent_encoded(const std::string& text);

/// Reads an answer of the platform; one of the wrong shape counts as unavailable, with the fault in its
/// detail.
[[nodiscard]] platform_response decode_platform_answer(platform_method method, int http_status,
                                                       const std::string& body);

} // namespace skylarkseam
