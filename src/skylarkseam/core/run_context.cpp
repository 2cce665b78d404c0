#include <skylarkseam/core/run_context.hpp>

namespace skylarkseam {

void shared_run_state::request_status(std::uint32_t owner, const std::string& group, time_point now,
                                      std::vector<coordinator_output>& out, duration interval) {
    const auto [at, inserted] = last_status_request.try_emplace({owner, group}, now);
    if (!inserted && now < at->second + interval) {
        return;
    }
    at->second = now;
    out.emplace_back(coordinator_action::request_status{owners.name(owner), group});
}

} // namespace skylarkseam
