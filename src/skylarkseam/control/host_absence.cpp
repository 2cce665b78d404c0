#include <skylarkseam/control/host_absence.hpp>

namespace skylarkseam {

void host_absence::update(const std::set<std::string>& listed, const std::set<std::string>& nodes,
                          const std::string& self, time_point now) {
    if (!listed.contains(self)) {
        absent_since_.clear();
        return;
    }
    last_list_at_ = now;
    for (const auto& it : nodes) {
        if (listed.contains(it)) {
            absent_since_.erase(it);
        } else {
            absent_since_.try_emplace(it, now);
        }
    }
}

bool host_absence::confirms_end(const std::string& node, time_point now) const {
    const auto found = absent_since_.find(node);
    const bool fresh = now - last_list_at_ <= 2 * timing_.host_list_interval;
    return fresh && found != absent_since_.end() && now - found->second >= timing_.host_absence_timeout;
}

} // namespace skylarkseam
