// One call to the platform as the control part's state machines issue it, and its answer.
#pragma once

#include <skylarkseam/core/platform_object.hpp>

#include <cstdint>

namespace skylarkseam {

using platform_call_id = std::uint64_t; ///< unique within the state machine that issued the call

/// Sent once; the shell never repeats it on its own, and answers it exactly once.
struct platform_call {
    platform_call_id id = 0;
    platform_request request;
};

struct platform_answer {
    platform_call_id id = 0;
    platform_response response;
};

/// Whether a change that was answered like this may have taken effect, now or later.
[[nodiscard]] inline bool is_ambiguous(const platform_response& response) {
    return response.status == platform_status::unavailable && !response.not_sent;
}

} // namespace skylarkseam
