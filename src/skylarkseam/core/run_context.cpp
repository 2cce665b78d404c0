#include <skylarkseam/core/run_context.hpp>

namespace skylarkseam {
namespace {

constexpr duration status_interval = milliseconds(20); ///< between two requests to the same owner

} // namespace

void run_services::request_status(std::uint32_t owner, const std::string& group, time_point now,
                                  std::vector<coordinator_output>& out) {
    const auto [at, is_new] = status_asked.try_emplace({owner, group}, now);
    if (!is_new && now < at->second + status_interval) {
        return;
    }
    at->second = now;
    out.emplace_back(coordinator_action::request_status{owners.name(owner), group});
}

} // namespace skylarkseam
