#include "LibRouting/LatencyBaseline.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

constexpr int kMinCount = 8;
/// Weight of one sample in the moving average, once there are enough samples.
constexpr double kSmoothing = 0.05;
/// A bad version is several times slower. A normal answer is rarely three times slower than the
/// mean and never beyond three times the usual deviation.
constexpr double kSlowFactor = 3.5;
constexpr double kSlowDeviations = 3.0;
constexpr double kAboveMeanFactor = 1.6;
constexpr double kMinSeconds = 1e-4;

} // namespace

void LatencyBaseline::Learn(const std::string& aKind, Duration aTime) {
  Baseline& baseline = m_kinds[aKind];
  const double value = std::log(std::max(InSeconds(aTime), kMinSeconds));
  ++baseline.m_count;
  const double part = std::max(kSmoothing, 1.0 / baseline.m_count);
  const double difference = value - baseline.m_logMean;
  baseline.m_logMean += part * difference;
  baseline.m_logDeviation += part * (std::abs(difference) - baseline.m_logDeviation);
}

bool LatencyBaseline::Knows(const std::string& aKind) const {
  const auto found = m_kinds.find(aKind);
  return found != m_kinds.end() && found->second.m_count >= kMinCount;
}

bool LatencyBaseline::IsSlow(const std::string& aKind, Duration aTime) const {
  return IsBeyond(aKind, aTime, kSlowFactor, kSlowDeviations);
}

bool LatencyBaseline::IsAboveMean(const std::string& aKind, Duration aTime) const {
  return IsBeyond(aKind, aTime, kAboveMeanFactor, 0.0);
}

bool LatencyBaseline::IsBeyond(const std::string& aKind, Duration aTime, double aFactor,
                               double aDeviations) const {
  if (!Knows(aKind)) {
    return false;
  }
  const auto found = m_kinds.find(aKind);
  const double value = std::log(std::max(InSeconds(aTime), kMinSeconds));
  const double limit = std::max(std::log(aFactor), aDeviations * found->second.m_logDeviation);
  return value - found->second.m_logMean > limit;
}

} // namespace fennelline
