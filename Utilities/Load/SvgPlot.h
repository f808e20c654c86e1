#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fennelline {

/// One line of a plot: points (x, y) in drawing order.
struct PlotLine {
  std::string m_name;
  std::vector<std::pair<double, double>> m_points;
};

/// A plot with a logarithmic y axis and a labelled categorical x axis.
struct Plot {
  std::string m_title;
  std::string m_yLabel;
  /// Labels of the positions 0, 1, 2, … on the x axis.
  std::vector<std::string> m_xLabels;
  std::vector<PlotLine> m_lines;
};

/// Formats the plot as SVG.
std::string WriteSvg(const Plot& aPlot);

} // namespace fennelline
