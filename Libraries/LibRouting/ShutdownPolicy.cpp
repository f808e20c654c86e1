#include "LibRouting/ShutdownPolicy.h"

namespace fennelline {

namespace {

/// Requests that may take longer than the grace period are accepted only while most of them can
/// still finish, and while the platform's rules excuse that the others are cut off.
constexpr double kEarlyPartOfGrace = 0.3;
constexpr Duration kMaxEarlyTime = Seconds(3);
/// Requests that finish in time are accepted until the process has to prepare for its exit.
constexpr double kAcceptingPartOfGrace = 0.75;

/// Callers cache address lists for some seconds, so an idle process waits for this fraction of the
/// grace period.
constexpr double kIdlePartOfGrace = 0.7;

/// Remaining requests are answered this long before forced termination.
constexpr Duration kGiveUpMargin = Milliseconds(250);

/// Time that remains for closing connections after the last answer.
constexpr Duration kForcedExitMargin = Milliseconds(50);

bool IsWithin(Duration aTime, Duration aGrace, double aPart) {
  return InSeconds(aTime) < InSeconds(aGrace) * aPart;
}

} // namespace

bool ShutdownPolicy::AcceptsRequest(RouteKind aKind, Duration aSinceOrder,
                                    Duration aTimeLeft) const {
  const bool finishes = aSinceOrder + aTimeLeft <= m_grace - kGiveUpMargin;
  if (finishes) {
    return IsWithin(aSinceOrder, m_grace, kAcceptingPartOfGrace);
  }
  return aKind != RouteKind::NonIdempotent && aSinceOrder < kMaxEarlyTime &&
         IsWithin(aSinceOrder, m_grace, kEarlyPartOfGrace);
}

bool ShutdownPolicy::MayExit(std::size_t aRequestsInHand, Duration aSinceOrder) const {
  if (aSinceOrder >= m_grace - kForcedExitMargin) {
    return true;
  }
  return aRequestsInHand == 0 && !IsWithin(aSinceOrder, m_grace, kIdlePartOfGrace);
}

bool ShutdownPolicy::MustGiveUp(Duration aSinceOrder) const {
  return aSinceOrder >= m_grace - kGiveUpMargin;
}

} // namespace fennelline
