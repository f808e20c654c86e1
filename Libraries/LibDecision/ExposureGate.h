#pragma once

#include <cstddef>
#include <cstdint>

namespace fennelline {

/// How far a version in its first roll-out step may run ahead of the judgement of its answers.
struct ExposureGatePlan {
  /// Unjudged requests that all entries together may have out from the start.
  double m_firstUnjudged = 20.0;
  /// Further ones for each judged request.
  double m_unjudgedPerJudged = 0.5;
};

/// Whether an entry may give one more new session or sessionless request to the version. Ratings
/// come late; without this bound, what is exposed meanwhile grows with the traffic. Each entry
/// looks at its own counts only: together they stay within the plan.
bool MayExpose(const ExposureGatePlan& aPlan, std::int64_t aOwnUnjudged, std::int64_t aOwnJudged,
               std::size_t aEntries);

/// The rate of bad clusters up to which a new version counts as good: that of the version before
/// it, with the uncertainty of its count, and no less than aLeastRate. Sessions have several
/// answers, so the rate of bad clusters is not that of bad answers and has to be measured.
double GoodClusterRate(std::int64_t aControlClusters, std::int64_t aControlBad, double aLeastRate);

} // namespace fennelline
