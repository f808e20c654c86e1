#pragma once

#include "LibBase/Time.h"

namespace fennelline {

/// One budget for retries and hedges: a share of the requests, with a small floor.
class RetryBudget {
public:
  /// aShare of requests may be extra attempts; aBurst of them may be saved up.
  RetryBudget(double aShare, double aBurst)
    : m_share(aShare)
    , m_burst(aBurst)
    , m_tokens(aBurst) {}

  void OnRequest();
  /// Takes one extra attempt out of the budget; false where it is spent.
  bool TrySpend();
  /// Gives one back that was not sent after all.
  void Refund();

private:
  double m_share;
  double m_burst;
  double m_tokens;
};

/// Whether and when to send a second attempt while the first still runs.
struct HedgeQuery {
  bool m_idempotent = false;
  bool m_streamStarted = false;
  Duration m_elapsed{0};
  /// The time within which 95 in 100 of such requests have shown their first byte.
  Duration m_usualFirstByte{0};
  Duration m_timeLeft{0};
  Duration m_expectedTime{0};
  /// The pool's free share, from 0 to 1; a full pool gets no second attempts.
  double m_poolFree = 1.0;
};

bool ShouldHedge(const HedgeQuery& aQuery);

} // namespace fennelline
