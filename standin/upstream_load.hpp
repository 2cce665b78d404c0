// Reads the searchers' own counts over HTTP.
#pragma once

#include "standin/load_run.hpp"

namespace skylarkseam::standin {

/// The sums since the searchers' start; throws std::runtime_error where they cannot be read.
[[nodiscard]] upstream_load read_upstream_load(const std::string& control_address);

/// What was added between two readings; the runs of a key are those of the later one.
[[nodiscard]] upstream_load difference(const upstream_load& later, const upstream_load& earlier);

} // namespace skylarkseam::standin
