#include "Utilities/Load/LoadReport.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr double kMicrosPerMilli = 1000.0;

double InMillisecondsExact(Duration aDuration) {
  return static_cast<double>(aDuration.count()) / kMicrosPerMilli;
}

void AddResult(const LoadResult& aResult, Duration aDeadline, KindFigures& aFigures) {
  ++aFigures.m_sent;
  aFigures.m_sendDelays.push_back(InMillisecondsExact(aResult.m_sendDelay));
  switch (aResult.m_answer.m_outcome) {
    case CallOutcome::Answered:
      ++aFigures.m_answered;
      aFigures.m_late += aResult.m_latency > aDeadline ? 1 : 0;
      aFigures.m_costMicros += aResult.m_answer.m_costMicros;
      ++aFigures.m_versions[aResult.m_answer.m_version];
      aFigures.m_latencies.push_back(InMillisecondsExact(aResult.m_latency));
      aFigures.m_firstTokens.push_back(InMillisecondsExact(aResult.m_firstToken));
      return;
    case CallOutcome::Refused:
      ++aFigures.m_refusals[aResult.m_answer.m_code];
      return;
    case CallOutcome::Failed:
      ++aFigures.m_failed;
      ++aFigures.m_refusals[aResult.m_answer.m_code];
      return;
  }
}

json PercentilesOf(const std::vector<double>& aValues) {
  constexpr double kMedian = 0.5;
  constexpr double kNinety = 0.9;
  constexpr double kNinetyFive = 0.95;
  constexpr double kNinetyNine = 0.99;
  constexpr double kNinetyNineNine = 0.999;
  return {{"p50", Percentile(aValues, kMedian)},
          {"p90", Percentile(aValues, kNinety)},
          {"p95", Percentile(aValues, kNinetyFive)},
          {"p99", Percentile(aValues, kNinetyNine)},
          {"p999", Percentile(aValues, kNinetyNineNine)},
          {"max", aValues.empty() ? 0.0 : aValues.back()}};
}

json ToJson(const KindFigures& aFigures) {
  return {{"kind", aFigures.m_name},
          {"sent", aFigures.m_sent},
          {"answered", aFigures.m_answered},
          {"late", aFigures.m_late},
          {"failed", aFigures.m_failed},
          {"refusals", aFigures.m_refusals},
          {"versions", aFigures.m_versions},
          {"cost_micros", aFigures.m_costMicros},
          {"latency_ms", PercentilesOf(aFigures.m_latencies)},
          {"first_token_ms", PercentilesOf(aFigures.m_firstTokens)},
          {"send_delay_ms", PercentilesOf(aFigures.m_sendDelays)}};
}

} // namespace

double Percentile(const std::vector<double>& aAscending, double aShare) {
  if (aAscending.empty()) {
    return 0.0;
  }
  const double rank = std::ceil(aShare * static_cast<double>(aAscending.size()));
  const std::size_t index = rank < 1.0 ? 0 : static_cast<std::size_t>(rank) - 1;
  return aAscending[std::min(index, aAscending.size() - 1)];
}

std::vector<KindFigures> Summarize(const Experiment& aExperiment,
                                   const std::vector<LoadResult>& aResults) {
  std::vector<KindFigures> figures;
  for (const LoadKind& kind : aExperiment.m_kinds) {
    figures.push_back({.m_name = kind.m_name});
  }
  figures.push_back({.m_name = "all"});
  for (const LoadResult& result : aResults) {
    const Duration deadline = aExperiment.m_kinds[result.m_kind].m_deadline;
    AddResult(result, deadline, figures[result.m_kind]);
    AddResult(result, deadline, figures.back());
  }
  for (KindFigures& kind : figures) {
    std::sort(kind.m_latencies.begin(), kind.m_latencies.end());
    std::sort(kind.m_firstTokens.begin(), kind.m_firstTokens.end());
    std::sort(kind.m_sendDelays.begin(), kind.m_sendDelays.end());
  }
  return figures;
}

std::string WriteReport(const Experiment& aExperiment, const std::vector<KindFigures>& aFigures) {
  json kinds = json::array();
  for (const KindFigures& figures : aFigures) {
    kinds.push_back(ToJson(figures));
  }
  const json report = {{"experiment", aExperiment.m_name},
                       {"seed", aExperiment.m_seed},
                       {"requests_per_second", aExperiment.m_requestsPerSecond},
                       {"length_ms", InMilliseconds(aExperiment.m_length)},
                       {"kinds", kinds}};
  constexpr int kIndent = 2;
  return report.dump(kIndent) + "\n";
}

} // namespace fennelline
