#pragma once

#include "LibBase/Time.h"
#include "LibRouting/RoutingConfiguration.h"

namespace fennelline {

/// What a process still accepts after a stop signal. Callers keep using its address until their
/// cached address lists expire.
struct ShutdownPolicy {
  /// Time between the stop signal and forced termination.
  Duration m_grace = Seconds(8);

  /// Whether to accept a request that arrives now and has to be answered within aTimeLeft. One that
  /// may not finish within the grace period is refused as not run, so that its caller can retry
  /// elsewhere in time. In the first seconds, requests that probably finish are accepted all the
  /// same, unless they may run once only: cut off, those leave their caller in doubt.
  bool AcceptsRequest(RouteKind aKind, Duration aSinceOrder, Duration aTimeLeft) const;
  /// Whether the process may exit with this many requests in hand.
  bool MayExit(std::size_t aRequestsInHand, Duration aSinceOrder) const;
  /// Whether the requests in hand are to be answered now, since forced termination is near.
  bool MustGiveUp(Duration aSinceOrder) const;
};

} // namespace fennelline
