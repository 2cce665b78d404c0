// Detects terminated nodes by the platform's list of hosts. The list is updated late, both for new and for
// terminated hosts; only a long absence from the list shows that a host has terminated.
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

    /// Processes the platform's list. A list without this node's own host uses other names for hosts than for
    /// nodes; it resets the absence of all nodes.
    void update(const std::set<std::string>& listed, const std::set<std::string>& nodes,
                const std::string& self, time_point now);

    /// Returns whether the node's host has been absent long enough for its process to have ended.
    [[nodiscard]] bool confirms_end(const std::string& node, time_point now) const;

private:
    cell_timing timing_;
    std::map<std::string, time_point> absent_since_;
    time_point last_list_at_{};
};

} // namespace skylarkseam
