#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// The value below which aPart (from 0 to 1) of the samples lie. Zero without samples.
double Quantile(std::vector<double> aSamples, double aPart);

/// One measure of an experiment, with one value for each seed.
struct Measurement {
  std::string m_name;
  std::string m_policy;
  std::vector<double> m_values;
  /// What the issue asks for, such as "<= 0.5"; empty for figures that stand beside a target.
  std::string m_target;
  /// Whether a smaller value is the better one, and the bound; looked at where m_target is set.
  bool m_smallerIsBetter = true;
  double m_bound = 0.0;

  bool IsMet() const;
};

struct Report {
  std::string m_experiment;
  std::uint64_t m_firstSeed = 1;
  std::size_t m_seeds = 0;
  std::vector<Measurement> m_measurements;
};

/// The values of the policy for the measure, to add to; made where there are none.
std::vector<double>& ValuesOf(Report& aReport, const std::string& aName,
                              const std::string& aPolicy);

/// States the target of a measure that is there already.
void SetTarget(Report& aReport, const std::string& aName, const std::string& aPolicy,
               bool aSmallerIsBetter, double aBound);

/// The report as JSON text, and as lines of a table for people.
std::string WriteJson(const Report& aReport);
std::string WriteTable(const Report& aReport);
/// The report as a drawing: for each measure a bar for each policy, with the spread over seeds.
std::string WriteSvg(const Report& aReport);

} // namespace fennelline
