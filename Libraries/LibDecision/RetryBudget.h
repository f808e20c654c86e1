#pragma once

#include "LibBase/Time.h"

namespace fennelline {

/// Budget for retries and hedged requests: a share of the requests, plus a small burst.
class RetryBudget {
public:
  /// aShare: extra attempts allowed per request. aBurst: maximum number of unused attempts that are
  /// saved up.
  RetryBudget(double aShare, double aBurst)
    : m_share(aShare)
    , m_burst(aBurst)
    , m_tokens(aBurst) {}

  void OnRequest();
  /// Takes one extra attempt from the budget; returns false if it is exhausted.
  bool TrySpend();
  /// Returns an attempt that was not sent after all.
  void Refund();

private:
  double m_share;
  double m_burst;
  double m_tokens;
};

/// Input for the decision whether to send a second attempt while the first is still running.
struct HedgeQuery {
  bool m_idempotent = false;
  bool m_streamStarted = false;
  Duration m_elapsed{0};
  /// 95th percentile of the time to the first byte of such requests.
  Duration m_usualFirstByte{0};
  Duration m_timeLeft{0};
  Duration m_expectedTime{0};
  /// The pool's free share, from 0 to 1; a full pool gets no hedged requests.
  double m_poolFree = 1.0;
};

bool ShouldHedge(const HedgeQuery& aQuery);

} // namespace fennelline
