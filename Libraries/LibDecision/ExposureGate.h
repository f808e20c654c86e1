#pragma once

#include <cstddef>
#include <cstdint>

namespace fennelline {

/// Limits how many requests a version in its first roll-out step may get before its answers are
/// rated.
struct ExposureGatePlan {
  /// Number of unrated requests that all entries together may have outstanding at the start.
  double m_firstUnjudged = 20.0;
  /// Additional unrated requests per rated one.
  double m_unjudgedPerJudged = 0.5;
};

/// Whether an entry may send one more new session or sessionless request to the version. Ratings
/// arrive late; without this limit, the exposure until then would grow with the traffic. Each entry
/// uses its own counts only: together the entries stay within the plan.
bool MayExpose(const ExposureGatePlan& aPlan, std::int64_t aOwnUnjudged, std::int64_t aOwnJudged,
               std::size_t aEntries);

/// Returns the rate of bad clusters up to which a new version counts as good: the rate of the
/// previous version plus the uncertainty of its count, and at least aLeastRate. Sessions have
/// several answers, so the rate of bad clusters differs from that of bad answers and has to be
/// measured.
double GoodClusterRate(std::int64_t aControlClusters, std::int64_t aControlBad, double aLeastRate);

} // namespace fennelline
