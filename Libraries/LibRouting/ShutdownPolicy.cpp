#include "LibRouting/ShutdownPolicy.h"

namespace fennelline {

namespace {

/// Streams may last as long as the grace period, so they are accepted only while most of them can
/// still finish.
constexpr double kStreamPartOfGrace = 0.3;
/// Plain requests take at most a second.
constexpr double kPlainPartOfGrace = 0.75;

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

bool ShutdownPolicy::AcceptsRequest(RouteKind aKind, Duration aSinceOrder) const {
  const double part = aKind == RouteKind::Streaming ? kStreamPartOfGrace : kPlainPartOfGrace;
  return IsWithin(aSinceOrder, m_grace, part);
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
