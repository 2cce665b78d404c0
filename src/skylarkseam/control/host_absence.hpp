// Which nodes' hosts the platform has not listed for so long that they have certainly ended. The list lags: a
// host is listed late and dropped late, so only a long absence counts.
#pragma once

#include <skylarkseam/control/cell_timing.hpp>

#include <map>
#include <set>
#include <string>

namespace skylarkseam {

class host_absence {
public:
    explicit host_absence(const cell_timing& timing)
        : timing_(timing) {}

    /// Takes the platform's list. A list without this node's own host names hosts otherwise than nodes are
    /// named, and proves nothing.
    void take(const std::set<std::string>& listed, const std::set<std::string>& nodes,
              const std::string& self, time_point now);

    [[nodiscard]] bool proves_end(const std::string& node, time_point now) const;

private:
    cell_timing timing_;
    std::map<std::string, time_point> absent_since_;
    time_point listed_at_{};
};

} // namespace skylarkseam
