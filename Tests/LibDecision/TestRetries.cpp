#include "LibDecision/RetryBudget.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("extra attempts stay within their share of the requests") {
  RetryBudget budget(0.1, 10.0);
  int spent = 0;
  for (int request = 0; request < 10000; ++request) {
    budget.OnRequest();
    spent += budget.TrySpend() ? 1 : 0;
  }
  CHECK(spent <= 1010);
  CHECK(spent >= 990);
}

TEST_CASE("unused attempts are saved up to the burst, and a refund returns one attempt") {
  RetryBudget budget(0.5, 3.0);
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest();
  }
  CHECK(budget.TrySpend());
  CHECK(budget.TrySpend());
  CHECK(budget.TrySpend());
  CHECK(!budget.TrySpend());
  budget.Refund();
  CHECK(budget.TrySpend());
}

TEST_CASE("only idempotent requests that are overdue and can still finish are hedged") {
  const HedgeQuery query{.m_idempotent = true,
                         .m_elapsed = Milliseconds(200),
                         .m_usualFirstByte = Milliseconds(150),
                         .m_timeLeft = Milliseconds(500),
                         .m_expectedTime = Milliseconds(300)};
  CHECK(ShouldHedge(query));
  HedgeQuery other = query;
  other.m_idempotent = false;
  CHECK(!ShouldHedge(other));
  other = query;
  other.m_streamStarted = true;
  CHECK(!ShouldHedge(other));
  other = query;
  other.m_elapsed = Milliseconds(100);
  CHECK(!ShouldHedge(other));
  other = query;
  other.m_timeLeft = Milliseconds(200);
  CHECK(!ShouldHedge(other));
  other = query;
  other.m_poolFree = 0.0;
  CHECK(!ShouldHedge(other));
}
