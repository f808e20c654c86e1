#include "LibRouting/LatencyBaseline.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

constexpr int kLeastCount = 8;
/// Each time moves the mean by this part, once there are enough.
constexpr double kSmoothing = 0.05;
/// A bad version is several times slower; a usual answer is rarely three times slower than the mean
/// and never beyond its usual spread.
constexpr double kSlowFactor = 3.5;
constexpr double kSlowDeviations = 3.0;
constexpr double kLeastSeconds = 1e-4;

} // namespace

void LatencyBaseline::Learn(const std::string& aKind, Duration aTime) {
  Usual& usual = m_kinds[aKind];
  const double value = std::log(std::max(InSeconds(aTime), kLeastSeconds));
  ++usual.m_count;
  const double part = std::max(kSmoothing, 1.0 / usual.m_count);
  const double difference = value - usual.m_logMean;
  usual.m_logMean += part * difference;
  usual.m_logDeviation += part * (std::abs(difference) - usual.m_logDeviation);
}

bool LatencyBaseline::IsSlow(const std::string& aKind, Duration aTime) const {
  const auto found = m_kinds.find(aKind);
  if (found == m_kinds.end() || found->second.m_count < kLeastCount) {
    return false;
  }
  const double value = std::log(std::max(InSeconds(aTime), kLeastSeconds));
  const double limit =
    std::max(std::log(kSlowFactor), kSlowDeviations * found->second.m_logDeviation);
  return value - found->second.m_logMean > limit;
}

} // namespace fennelline
