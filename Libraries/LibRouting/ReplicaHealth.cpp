#include "LibRouting/ReplicaHealth.h"

#include "LibRouting/ExponentialBackoff.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

/// Part by which one result moves the failure rate: about the last eight results count.
constexpr double kSmoothing = 0.15;

/// Without results, the failure rate fades to 1/e within this time, so that a server that has
/// recovered is tried again.
constexpr Duration kFadeTime = Seconds(4);

/// A server that turned a request away is full for about the time of a request.
constexpr Duration kTurnedAwayTime = Milliseconds(150);

/// The first time that an unreachable server is shunned; doubled each time in a row.
constexpr Duration kFirstShunTime = Milliseconds(400);
/// A crashed server is back within some seconds and would be missed.
constexpr Duration kLongestShunTime = Milliseconds(1600);

} // namespace

void ReplicaHealth::Count(double aFailure, Time aNow) {
  m_failureRate = FailureRate(aNow);
  m_failureRate += (aFailure - m_failureRate) * kSmoothing;
  m_counted = aNow;
}

void ReplicaHealth::Shun(Duration aTime, Time aNow) {
  m_shunnedUntil = std::max(m_shunnedUntil, aNow + aTime);
}

double ReplicaHealth::FailureRate(Time aNow) const {
  return m_failureRate * std::exp(-InSeconds(aNow - m_counted) / InSeconds(kFadeTime));
}

void ReplicaHealth::OnSuccess(Time aNow) {
  Count(0.0, aNow);
  m_unreachableInRow = 0;
  m_shunnedUntil = Time{};
}

void ReplicaHealth::OnFailure(Time aNow) {
  Count(1.0, aNow);
}

void ReplicaHealth::OnRejected(Time aNow) {
  Shun(kTurnedAwayTime, aNow);
}

void ReplicaHealth::OnUnreachable(Time aNow) {
  Count(1.0, aNow);
  Shun(ExponentialBackoff(kFirstShunTime, kLongestShunTime, m_unreachableInRow++), aNow);
}

} // namespace fennelline
