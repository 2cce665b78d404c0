// A node that runs as a gateway: clients on one side, searchers that register themselves on the other, and
// the platform's store for what it has to know.
#pragma once

#include <skylarkseam/core/settings.hpp>
#include <skylarkseam/shell/platform_binding.hpp>

namespace skylarkseam {

/// Runs until it has drained after SIGTERM (0), or until a second SIGTERM ends it at once (1). SIGHUP reads
/// the settings again, SIGUSR1 writes the state dump to the log. Throws std::runtime_error where it cannot
/// start.
/// \param settings  with a gateway section
/// \param reload    reads the settings again; nothing where they are faulty, which it has told of
int run_gateway(const node_settings& settings, const platform_binding& binding,
                std::function<std::optional<node_settings>()> reload);

} // namespace skylarkseam
