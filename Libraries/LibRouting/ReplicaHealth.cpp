#include "LibRouting/ReplicaHealth.h"

#include "LibRouting/ExponentialBackoff.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Weight of one result in the moving average: about the last eight results count.
constexpr double kSmoothing = 0.15;

/// Without results, the failure rate decays to 1/e within this time, so that a recovered server is
/// tried again.
constexpr Duration kDecayTime = Seconds(4);

/// A server that rejected a request stays full for about the duration of a request.
constexpr Duration kRejectionAvoidTime = Milliseconds(150);

/// Its slots are likely to be taken for this time, so it is used less, until those of other
/// requests are free again.
constexpr Duration kRejectionCostTime = Seconds(1);

/// How long an unreachable server is avoided at first; doubled for each further failure in a row.
constexpr Duration kFirstAvoidTime = Milliseconds(400);
/// A crashed server restarts within seconds, and its capacity is needed.
constexpr Duration kMaxAvoidTime = Milliseconds(1600);

} // namespace

void ReplicaHealth::Count(double aFailure, Time aNow) {
  m_failureRate = FailureRate(aNow);
  m_failureRate += (aFailure - m_failureRate) * kSmoothing;
  m_counted = aNow;
}

void ReplicaHealth::Avoid(Duration aTime, Time aNow) {
  m_avoidedUntil = std::max(m_avoidedUntil, aNow + aTime);
}

double ReplicaHealth::FailureRate(Time aNow) const {
  return m_failureRate * std::exp(-InSeconds(aNow - m_counted) / InSeconds(kDecayTime));
}

void ReplicaHealth::OnSuccess(Time aNow) {
  Count(0.0, aNow);
  m_unreachableInRow = 0;
  m_avoidedUntil = Time{};
}

void ReplicaHealth::OnFailure(Time aNow) {
  Count(1.0, aNow);
}

void ReplicaHealth::OnRejected(Time aNow) {
  Avoid(kRejectionAvoidTime, aNow);
  m_rejectedAt = aNow;
}

double ReplicaHealth::RecentRejection(Time aNow) const {
  const double part = InSeconds(aNow - m_rejectedAt) / InSeconds(kRejectionCostTime);
  return std::clamp(1.0 - part, 0.0, 1.0);
}

void ReplicaHealth::OnUnreachable(Time aNow) {
  Count(1.0, aNow);
  Avoid(ExponentialBackoff(kFirstAvoidTime, kMaxAvoidTime, m_unreachableInRow++), aNow);
}

} // namespace fennelline
