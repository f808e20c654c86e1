#pragma once

#include "LibBase/Time.h"

namespace fennelline {

/// Passive health tracking of one backend server, from the outcomes of one entry's requests. No
/// health checks are sent: a server may fail requests while it reports itself healthy, and each
/// check takes one of its slots.
class ReplicaHealth {
public:
  void OnSuccess(Time aNow);
  /// A request failed there, or its answer was lost or corrupt.
  void OnFailure(Time aNow);
  /// It rejected a request without running it.
  void OnRejected(Time aNow);
  /// It cannot be reached, or has stopped responding.
  void OnUnreachable(Time aNow);

  /// Whether it is used only as a last resort.
  bool IsAvoided(Time aNow) const { return aNow < m_avoidedUntil; }
  /// Moving average of the share of failed requests, from 0 to 1; recent results weigh more.
  double FailureRate(Time aNow) const;

  /// 1 if it has just rejected a request, falling to 0 within about a second.
  double RecentRejection(Time aNow) const;

private:
  void Count(double aFailure, Time aNow);
  void Avoid(Duration aTime, Time aNow);

  double m_failureRate = 0.0;
  Time m_counted{};
  Time m_avoidedUntil{};
  Time m_rejectedAt{};
  int m_unreachableInRow = 0;
};

} // namespace fennelline
