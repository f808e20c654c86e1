#include "LibDecision/RetryBudget.h"

#include <algorithm>

namespace fennelline {

namespace {

/// With less of the pool free than this, a hedged request would displace another request's first
/// attempt.
constexpr double kMinPoolFree = 0.1;

} // namespace

void RetryBudget::OnRequest() {
  m_tokens = std::min(m_burst, m_tokens + m_share);
}

bool RetryBudget::TrySpend() {
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

void RetryBudget::Refund() {
  m_tokens = std::min(m_burst, m_tokens + 1.0);
}

bool ShouldHedge(const HedgeQuery& aQuery) {
  if (!aQuery.m_idempotent || aQuery.m_streamStarted || aQuery.m_poolFree < kMinPoolFree) {
    return false;
  }
  const bool overdue = aQuery.m_elapsed >= aQuery.m_usualFirstByte;
  return overdue && aQuery.m_expectedTime <= aQuery.m_timeLeft;
}

} // namespace fennelline
