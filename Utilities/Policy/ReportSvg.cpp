#include "Utilities/Policy/Report.h"

#include <algorithm>
#include <cstdio>

namespace fennelline {

namespace {

constexpr int kWidth = 900;
constexpr int kLabelWidth = 300;
constexpr int kBarWidth = 480;
constexpr int kRowHeight = 18;
constexpr int kBarHeight = 10;

struct Spread {
  double m_low = 0.0;
  double m_median = 0.0;
  double m_high = 0.0;
};

Spread SpreadOf(const Measurement& aMeasurement) {
  constexpr double kLow = 0.05;
  constexpr double kMedian = 0.5;
  constexpr double kHigh = 0.95;
  return {.m_low = Quantile(aMeasurement.m_values, kLow),
          .m_median = Quantile(aMeasurement.m_values, kMedian),
          .m_high = Quantile(aMeasurement.m_values, kHigh)};
}

std::string Escaped(const std::string& aText) {
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '<') {
      escaped += "&lt;";
    } else if (letter == '&') {
      escaped += "&amp;";
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

std::string Text(int aX, int aY, const std::string& aText) {
  return "<text x=\"" + std::to_string(aX) + "\" y=\"" + std::to_string(aY) + "\">" +
         Escaped(aText) + "</text>\n";
}

std::string Bar(int aX, int aY, int aWidth, int aHeight, const char* aColour) {
  return "<rect x=\"" + std::to_string(aX) + "\" y=\"" + std::to_string(aY) + "\" width=\"" +
         std::to_string(std::max(1, aWidth)) + "\" height=\"" + std::to_string(aHeight) +
         "\" fill=\"" + aColour + "\"/>\n";
}

/// A bar up to the median, and a line from the 5th to the 95th percentile of the seeds.
std::string Row(const Measurement& aMeasurement, double aMost, int aY) {
  const Spread spread = SpreadOf(aMeasurement);
  const auto position = [aMost](double aValue) {
    return static_cast<int>(aMost > 0.0 ? aValue / aMost * kBarWidth : 0.0);
  };
  constexpr std::size_t kTextSize = 32;
  char value[kTextSize];
  (void)std::snprintf(value, sizeof(value), "%.4g", spread.m_median); // NOLINT
  const int middle = aY - kBarHeight / 2;
  return Text(kLabelWidth / 10, aY, aMeasurement.m_policy) +
         Bar(kLabelWidth, aY - kBarHeight, position(spread.m_median), kBarHeight, "#7aa6c2") +
         Bar(kLabelWidth + position(spread.m_low), middle,
             position(spread.m_high) - position(spread.m_low), 2, "#222222") +
         Text(kLabelWidth + kBarWidth + kRowHeight, aY, value);
}

} // namespace

std::string WriteSvg(const Report& aReport) {
  std::string body;
  std::vector<std::string> done;
  int y = kRowHeight;
  for (const Measurement& first : aReport.m_measurements) {
    if (std::find(done.begin(), done.end(), first.m_name) != done.end()) {
      continue;
    }
    done.push_back(first.m_name);
    double most = 0.0;
    for (const Measurement& measurement : aReport.m_measurements) {
      const bool isSame = measurement.m_name == first.m_name;
      most = isSame ? std::max(most, SpreadOf(measurement).m_high) : most;
    }
    y += kRowHeight;
    body += Text(0, y, first.m_name);
    for (const Measurement& measurement : aReport.m_measurements) {
      if (measurement.m_name == first.m_name) {
        y += kRowHeight;
        body += Row(measurement, most, y);
      }
    }
  }
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(kWidth) +
         "\" height=\"" + std::to_string(y + kRowHeight) +
         "\" font-family=\"sans-serif\" font-size=\"12\">\n" + body + "</svg>\n";
}

} // namespace fennelline
