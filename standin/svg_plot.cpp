#include "standin/svg_plot.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace skylarkseam::standin {
namespace {

constexpr double width = 760;
constexpr double height = 220;
constexpr double left = 60;
constexpr double right = 140;
constexpr double top = 28;
constexpr double bottom = 24;
constexpr int grid_lines = 4;
constexpr std::array colours{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"};

struct frame {
    double least_x = 0, most_x = 1, least_y = 0, most_y = 0;

    [[nodiscard]] double x(double value) const {
        return left + (value - least_x) / (most_x - least_x) * (width - left - right);
    }
    [[nodiscard]] double y(double value) const {
        return height - bottom - (value - least_y) / (most_y - least_y) * (height - top - bottom);
    }
};

frame frame_of(const plot& it) {
    frame area;
    area.least_y = it.least_y;
    for (const auto& line : it.lines) {
        for (const auto& [x, y] : line.points) {
            area.most_x = std::max(area.most_x, x);
            area.most_y = std::max(area.most_y, y);
        }
    }
    if (area.most_y <= area.least_y) {
        area.most_y = area.least_y + 1;
    }
    return area;
}

void text(std::ostream& out, double x, double y, const std::string& words, const char* fill = "#333") {
    out << "<text x=\"" << x << "\" y=\"" << y << "\" fill=\"" << fill << "\">" << words << "</text>\n";
}

void grid(std::ostream& out, const frame& area) {
    for (int it = 0; it <= grid_lines; ++it) {
        const double part = static_cast<double>(it) / grid_lines;
        const double value = area.least_y + part * (area.most_y - area.least_y);
        const double y = area.y(value);
        out << "<line x1=\"" << left << "\" x2=\"" << width - right << "\" y1=\"" << y << "\" y2=\"" << y
            << "\" stroke=\"#ddd\"/>\n";
        std::ostringstream label;
        label << std::setprecision(4) << value;
        text(out, 4, y + 4, label.str());
    }
}

} // namespace

std::string to_svg(const plot& it) {
    const auto area = frame_of(it);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << width << ' ' << height
        << "\" width=\"" << width << "\" font-family=\"sans-serif\" font-size=\"11\">\n";
    text(out, left, 16, it.title + " (" + it.unit + ", over seconds)");
    grid(out, area);
    std::ostringstream last;
    last << area.most_x << " s";
    text(out, width - right - 24, height - 6, last.str());
    for (std::size_t n = 0; n < it.lines.size(); ++n) {
        const char* colour = colours[n % colours.size()];
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.5\" points=\"";
        for (const auto& [x, y] : it.lines[n].points) {
            out << area.x(x) << ',' << area.y(std::max(y, area.least_y)) << ' ';
        }
        out << "\"/>\n";
        text(out, width - right + 10, top + 14 * static_cast<double>(n + 1), it.lines[n].name, colour);
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace skylarkseam::standin
