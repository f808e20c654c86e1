#include "Utilities/Load/SvgPlot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace fennelline {

namespace {

constexpr double kWidth = 720.0;
constexpr double kHeight = 420.0;
constexpr double kLeft = 70.0;
constexpr double kRight = 180.0;
constexpr double kTop = 40.0;
constexpr double kBottom = 40.0;
constexpr double kDecade = 10.0;
constexpr double kMinValue = 0.01;
constexpr double kLegendStep = 18.0;
constexpr std::array<const char*, 8> kColours = {"#1b6ca8", "#c2452d", "#3a8f4d", "#8a4fa3",
                                                 "#b8860b", "#16878c", "#a83279", "#555555"};

/// The range of the logarithmic axis as powers of ten that enclose all values.
struct Axis {
  double m_lowest = 0.0;
  double m_highest = 1.0;
};

Axis AxisOf(const Plot& aPlot) {
  double least = 1.0;
  double most = kDecade;
  for (const PlotLine& line : aPlot.m_lines) {
    for (const std::pair<double, double>& point : line.m_points) {
      least = std::min(least, std::max(point.second, kMinValue));
      most = std::max(most, point.second);
    }
  }
  return {std::floor(std::log10(least)), std::ceil(std::log10(most))};
}

double XOf(const Plot& aPlot, double aPosition) {
  const double lastPosition =
    std::max<double>(1.0, static_cast<double>(aPlot.m_xLabels.size()) - 1.0);
  return kLeft + aPosition / lastPosition * (kWidth - kLeft - kRight);
}

double YOf(const Axis& aAxis, double aValue) {
  const double position =
    (std::log10(std::max(aValue, kMinValue)) - aAxis.m_lowest) / (aAxis.m_highest - aAxis.m_lowest);
  return kHeight - kBottom - position * (kHeight - kTop - kBottom);
}

void WriteText(std::ostream& aOut, double aX, double aY, const std::string& aText) {
  aOut << "<text x=\"" << aX << "\" y=\"" << aY << "\">" << aText << "</text>\n";
}

void WriteGrid(std::ostream& aOut, const Plot& aPlot, const Axis& aAxis) {
  constexpr double kLabelLeft = 10.0;
  constexpr double kLabelBelow = 20.0;
  for (double decade = aAxis.m_lowest; decade <= aAxis.m_highest; ++decade) {
    const double value = std::pow(kDecade, decade);
    const double y = YOf(aAxis, value);
    aOut << "<line x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\"" << y << "\" y2=\""
         << y << "\" stroke=\"#ddd\"/>\n";
    std::ostringstream label;
    label << value;
    WriteText(aOut, kLabelLeft, y, label.str());
  }
  for (std::size_t column = 0; column < aPlot.m_xLabels.size(); ++column) {
    WriteText(aOut, XOf(aPlot, static_cast<double>(column)) - kLabelLeft,
              kHeight - kBottom + kLabelBelow, aPlot.m_xLabels[column]);
  }
}

void WriteLine(std::ostream& aOut, const Plot& aPlot, const Axis& aAxis, std::size_t aIndex) {
  const PlotLine& line = aPlot.m_lines[aIndex];
  const char* colour = kColours[aIndex % kColours.size()];
  aOut << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"2\" points=\"";
  for (const std::pair<double, double>& point : line.m_points) {
    aOut << XOf(aPlot, point.first) << "," << YOf(aAxis, point.second) << " ";
  }
  aOut << "\"/>\n<g fill=\"" << colour << "\">";
  WriteText(aOut, kWidth - kRight + kLegendStep,
            kTop + kLegendStep * static_cast<double>(aIndex + 1), line.m_name);
  aOut << "</g>\n";
}

} // namespace

std::string WriteSvg(const Plot& aPlot) {
  constexpr double kTitleY = 20.0;
  const Axis axis = AxisOf(aPlot);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  WriteText(out, kLeft, kTitleY, aPlot.m_title + " (" + aPlot.m_yLabel + ")");
  WriteGrid(out, aPlot, axis);
  for (std::size_t index = 0; index < aPlot.m_lines.size(); ++index) {
    WriteLine(out, aPlot, axis, index);
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace fennelline
