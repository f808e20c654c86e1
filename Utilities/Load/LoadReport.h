#pragma once

#include "Utilities/Load/LoadRun.h"

#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// The figures of one kind, or of all.
struct KindFigures {
  std::string m_name;
  std::int64_t m_sent = 0;
  std::int64_t m_answered = 0;
  /// Answered, but after the deadline.
  std::int64_t m_late = 0;
  std::int64_t m_failed = 0;
  std::map<std::string, std::int64_t> m_refusals;
  std::map<std::string, std::int64_t> m_versions;
  std::int64_t m_costMicros = 0;
  /// Of answered requests, in milliseconds, ascending.
  std::vector<double> m_latencies;
  std::vector<double> m_firstTokens;
  /// Of all requests.
  std::vector<double> m_sendDelays;
};

/// One for each kind in the experiment's order, and one named "all" at the end.
std::vector<KindFigures> Summarize(const Experiment& aExperiment,
                                   const std::vector<LoadResult>& aResults);

/// The value below which a share of the ascending values lies; 0 for no values.
double Percentile(const std::vector<double>& aAscending, double aShare);

/// The report as JSON text.
std::string WriteReport(const Experiment& aExperiment, const std::vector<KindFigures>& aFigures);

} // namespace fennelline
