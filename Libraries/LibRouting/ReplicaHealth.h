#pragma once

#include "LibBase/Time.h"

namespace fennelline {

/// What one entry has seen of one backend server's answers. Health checks are not asked: a server
/// may fail requests while it calls itself healthy, and each check costs it a slot.
class ReplicaHealth {
public:
  void OnSuccess(Time aNow);
  /// A request failed there, or its answer was lost or spoilt.
  void OnFailure(Time aNow);
  /// It turned a request away as not run.
  void OnRejected(Time aNow);
  /// It cannot be reached, or has gone silent.
  void OnUnreachable(Time aNow);

  /// Whether it gets no request now, other than as a last resort.
  bool IsAvoided(Time aNow) const { return aNow < m_shunnedUntil; }
  /// The share of its requests that failed, recent ones first, from 0 to 1.
  double FailureRate(Time aNow) const;

private:
  void Count(double aFailure, Time aNow);
  void Shun(Duration aTime, Time aNow);

  double m_failureRate = 0.0;
  Time m_counted{};
  Time m_shunnedUntil{};
  int m_unreachableInRow = 0;
};

} // namespace fennelline
