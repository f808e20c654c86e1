#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fennelline {

/// One line of a plot: points (x, y) in the order of drawing.
struct PlotLine {
  std::string m_name;
  std::vector<std::pair<double, double>> m_points;
};

/// A plot with a logarithmic y axis and named places on the x axis.
struct Plot {
  std::string m_title;
  std::string m_yName;
  /// Names of the places 0, 1, 2, … on the x axis.
  std::vector<std::string> m_places;
  std::vector<PlotLine> m_lines;
};

/// The plot as SVG text.
std::string WriteSvg(const Plot& aPlot);

} // namespace fennelline
