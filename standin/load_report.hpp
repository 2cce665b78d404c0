// The load tool's report: a table for the terminal, JSON, and a page of HTML with plots in SVG. Pure.
#pragma once

#include "standin/load_run.hpp"

#include <string>

namespace skylarkseam::standin {

[[nodiscard]] std::string to_text(const load_report& report);
[[nodiscard]] std::string to_json(const load_report& report);
/// A page that refers to nothing outside itself.
[[nodiscard]] std::string to_html(const load_report& report, const std::string& title);

} // namespace skylarkseam::standin
