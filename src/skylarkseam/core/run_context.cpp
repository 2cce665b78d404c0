#include <skylarkseam/core/run_context.hpp>

namespace skylarkseam {

void run_services::request_status(std::uint32_t owner, const std::string& group, time_point now,
                                  std::vector<coordinator_output>& out, duration interval) {
    const auto [at, is_new] = status_asked.try_emplace({owner, group}, now);
    if (!is_new && now < at->second + interval) {
        return;
    }
    at->second = now;
    out.emplace_back(coordinator_action::request_status{owners.name(owner), group});
}

} // namespace skylarkseam
