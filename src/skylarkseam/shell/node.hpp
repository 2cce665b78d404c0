// One node: coordinator, owner and control in one process and one event loop.
#pragma once

#include <skylarkseam/core/settings.hpp>

namespace skylarkseam {

/// Runs a node until it has drained after SIGTERM (0), or until a second SIGTERM ends it at once (1).
/// Throws std::runtime_error where it cannot start, with a text that names the fault.
int run_node(const node_settings& settings);

} // namespace skylarkseam
