// Line plots over time as SVG text. Pure.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace skylarkseam::standin {

struct plot_line {
    std::string name;
    std::vector<std::pair<double, double>> points; ///< ascending by x
};

struct plot {
    std::string title;
    std::string unit; ///< of y
    std::vector<plot_line> lines;
    double least_y = 0.0;
};

[[nodiscard]] std::string to_svg(const plot& it);

} // namespace skylarkseam::standin
