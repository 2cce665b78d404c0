// Call to the platform as issued by the state machines of the control folder, and its answer.
#pragma once

#include <skylarkseam/core/platform_object.hpp>

#include <cstdint>

namespace skylarkseam {

using platform_call_id = std::uint64_t; ///< Unique within the state machine that issued the call.

/// Call to the platform. The shell sends it once, without retries, and answers it exactly once.
struct platform_call {
    platform_call_id id = 0;
    platform_request request;
};

struct platform_answer {
    platform_call_id id = 0;
    platform_response response;
};

/// Returns whether a write with this response may have taken effect or may still take effect.
[[nodiscard]] inline bool is_ambiguous(const platform_response& response) {
    return response.status == platform_status::unavailable && !response.not_sent;
}

} // namespace skylarkseam
