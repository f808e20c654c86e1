#include "Utilities/Policy/Report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr double kMedian = 0.5;
constexpr double kLow = 0.05;
constexpr double kHigh = 0.95;

std::string Rounded(double aValue) {
  constexpr std::size_t kTextSize = 32;
  char text[kTextSize];
  (void)std::snprintf(text, sizeof(text), "%.4g", aValue); // NOLINT
  return text;
}

} // namespace

double Quantile(std::vector<double> aSamples, double aPart) {
  if (aSamples.empty()) {
    return 0.0;
  }
  const double position = aPart * static_cast<double>(aSamples.size() - 1);
  const auto index = static_cast<std::size_t>(std::llround(position));
  std::nth_element(aSamples.begin(), aSamples.begin() + static_cast<std::ptrdiff_t>(index),
                   aSamples.end());
  return aSamples[index];
}

bool Measurement::IsMet() const {
  const double median = Quantile(m_values, kMedian);
  return m_smallerIsBetter ? median <= m_bound : median >= m_bound;
}

std::vector<double>& ValuesOf(Report& aReport, const std::string& aName,
                              const std::string& aPolicy) {
  for (Measurement& measurement : aReport.m_measurements) {
    if (measurement.m_name == aName && measurement.m_policy == aPolicy) {
      return measurement.m_values;
    }
  }
  aReport.m_measurements.push_back({.m_name = aName, .m_policy = aPolicy});
  return aReport.m_measurements.back().m_values;
}

void SetTarget(Report& aReport, const std::string& aName, const std::string& aPolicy,
               bool aSmallerIsBetter, double aBound) {
  for (Measurement& measurement : aReport.m_measurements) {
    if (measurement.m_name == aName && measurement.m_policy == aPolicy) {
      measurement.m_target = (aSmallerIsBetter ? "<= " : ">= ") + Rounded(aBound);
      measurement.m_smallerIsBetter = aSmallerIsBetter;
      measurement.m_bound = aBound;
    }
  }
}

std::string WriteJson(const Report& aReport) {
  nlohmann::json measurements = nlohmann::json::array();
  for (const Measurement& measurement : aReport.m_measurements) {
    nlohmann::json row = {{"name", measurement.m_name},
                          {"policy", measurement.m_policy},
                          {"median", Quantile(measurement.m_values, kMedian)},
                          {"low", Quantile(measurement.m_values, kLow)},
                          {"high", Quantile(measurement.m_values, kHigh)},
                          {"values", measurement.m_values}};
    if (!measurement.m_target.empty()) {
      row["target"] = measurement.m_target;
      row["met"] = measurement.IsMet();
    }
    measurements.push_back(std::move(row));
  }
  const nlohmann::json document = {{"experiment", aReport.m_experiment},
                                   {"first_seed", aReport.m_firstSeed},
                                   {"seeds", aReport.m_seeds},
                                   {"measurements", std::move(measurements)}};
  constexpr int kIndent = 1;
  return document.dump(kIndent) + "\n";
}

std::string WriteTable(const Report& aReport) {
  std::string table = "| measure | policy | median | 5th to 95th of seeds | target | |\n| --- | "
                      "--- | --- | --- | --- "
                      "| --- |\n";
  for (const Measurement& measurement : aReport.m_measurements) {
    const bool hasTarget = !measurement.m_target.empty();
    table += "| " + measurement.m_name + " | " + measurement.m_policy + " | " +
             Rounded(Quantile(measurement.m_values, kMedian)) + " | " +
             Rounded(Quantile(measurement.m_values, kLow)) + " to " +
             Rounded(Quantile(measurement.m_values, kHigh)) + " | " + measurement.m_target + " | " +
             (hasTarget ? (measurement.IsMet() ? "met" : "missed") : "") + " |\n";
  }
  return table;
}

} // namespace fennelline
