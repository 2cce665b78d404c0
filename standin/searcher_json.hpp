// The record of a searcher stand-in as JSON. Pure.
#pragma once

#include "standin/searcher_model.hpp"

#include <string>

namespace skylarkseam::standin {

/// \param with_runs  also lists each request that was started
[[nodiscard]] std::string record_json(const searcher_model& model, time_point now, std::size_t connections,
                                      bool with_runs);

} // namespace skylarkseam::standin
