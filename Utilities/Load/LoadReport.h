#pragma once

#include "Utilities/Load/LoadRun.h"

#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// The measurements of one request kind, or of all kinds.
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
  /// Latencies of answered requests in milliseconds, ascending.
  std::vector<double> m_latencies;
  std::vector<double> m_firstTokens;
  /// Send delays of all requests in milliseconds, ascending.
  std::vector<double> m_sendDelays;
};

/// Returns the figures of each kind in the experiment's order, followed by those of all kinds
/// under the name "all".
std::vector<KindFigures> Summarize(const Experiment& aExperiment,
                                   const std::vector<LoadResult>& aResults);

/// Returns the nearest-rank percentile of ascending values for a share from 0 to 1; 0 for no
/// values.
double Percentile(const std::vector<double>& aAscending, double aShare);

/// Formats the report as JSON.
std::string WriteReport(const Experiment& aExperiment, const std::vector<KindFigures>& aFigures);

} // namespace fennelline
