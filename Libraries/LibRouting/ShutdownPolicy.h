#pragma once

#include "LibBase/Time.h"
#include "LibRouting/RoutingConfiguration.h"

namespace fennelline {

/// What a process that was told to stop still does. It answers the load of callers that keep using
/// its address until their address lists run out.
struct ShutdownPolicy {
  /// Between the order to stop and the forced end.
  Duration m_grace = Seconds(8);

  /// Whether a request that arrives now is taken. One that cannot be expected to end within the
  /// grace is refused as not run, so that its caller goes elsewhere while there is time.
  bool AcceptsRequest(RouteKind aKind, Duration aSinceOrder) const;
  /// Whether the process may end, with so many requests in hand.
  bool MayExit(std::size_t aRequestsInHand, Duration aSinceOrder) const;
};

} // namespace fennelline
