#include "LibRouting/ShutdownPolicy.h"

namespace fennelline {

namespace {

/// Streams may last as long as the grace, so they are taken only while most can still end.
constexpr double kStreamPartOfGrace = 0.3;
/// Plain requests take a second at most.
constexpr double kPlainPartOfGrace = 0.75;

/// Callers keep an address list for some seconds; an idle process waits this part of the grace.
constexpr double kIdlePartOfGrace = 0.7;

/// What is left is broken off this long before the forced end, so that the callers learn of it.
constexpr Duration kLastMoment = Milliseconds(250);

bool IsWithin(Duration aTime, Duration aGrace, double aPart) {
  return InSeconds(aTime) < InSeconds(aGrace) * aPart;
}

} // namespace

bool ShutdownPolicy::AcceptsRequest(RouteKind aKind, Duration aSinceOrder) const {
  const double part = aKind == RouteKind::Streaming ? kStreamPartOfGrace : kPlainPartOfGrace;
  return IsWithin(aSinceOrder, m_grace, part);
}

bool ShutdownPolicy::MayExit(std::size_t aRequestsInHand, Duration aSinceOrder) const {
  if (aSinceOrder >= m_grace - kLastMoment) {
    return true;
  }
  return aRequestsInHand == 0 && !IsWithin(aSinceOrder, m_grace, kIdlePartOfGrace);
}

} // namespace fennelline
