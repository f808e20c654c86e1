#include "LibDecision/ExposureGate.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Number of standard errors added to the control's rate.
constexpr double kControlCaution = 2.0;

/// With fewer control clusters than this, the control's rate is not used.
constexpr std::int64_t kMinControlClusters = 200;

/// A control with a higher rate is itself broken and not a standard for another version.
constexpr double kMaxGoodRate = 0.2;

} // namespace

bool MayExpose(const ExposureGatePlan& aPlan, std::int64_t aOwnUnjudged, std::int64_t aOwnJudged,
               std::size_t aEntries) {
  const double own =
    aPlan.m_firstUnjudged / static_cast<double>(std::max<std::size_t>(1, aEntries));
  const double allowed =
    std::max(1.0, own + aPlan.m_unjudgedPerJudged * static_cast<double>(aOwnJudged));
  return static_cast<double>(aOwnUnjudged) < allowed;
}

double GoodClusterRate(std::int64_t aControlClusters, std::int64_t aControlBad, double aLeastRate) {
  if (aControlClusters < kMinControlClusters) {
    return aLeastRate;
  }
  const auto clusters = static_cast<double>(aControlClusters);
  const double rate = (static_cast<double>(aControlBad) + 1.0) / (clusters + 2.0);
  const double error = std::sqrt(rate * (1.0 - rate) / clusters);
  return std::clamp(rate + kControlCaution * error, aLeastRate, std::max(aLeastRate, kMaxGoodRate));
}

} // namespace fennelline
