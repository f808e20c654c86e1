#include "LibBase/Random.h"
#include "LibRouting/RetryPolicy.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const Time kStart{Seconds(1000)};
const RetryLimits kGenerous = {.m_ratio = 0.9, .m_slack = 1000.0};

RetryPolicy PlanOf(RouteKind aKind, int aAttempts, bool aResumable = false) {
  return RetryPolicy({.m_kind = aKind,
                      .m_resumable = aResumable,
                      .m_attempts = aAttempts,
                      .m_answerBy = kStart + Seconds(1)});
}

} // namespace

TEST_CASE("a non-idempotent request is retried only if it definitely did not run") {
  RetryWindow retries;
  RetryPolicy plan = PlanOf(RouteKind::NonIdempotent, 1);
  CHECK(plan.OnOutcome(AttemptOutcome::NotSent, false, retries, kGenerous, kStart) ==
        NextAction::Send);
  CHECK(plan.OnOutcome(AttemptOutcome::NotRun, false, retries, kGenerous, kStart) ==
        NextAction::Send);
  CHECK(plan.OnOutcome(AttemptOutcome::Lost, false, retries, kGenerous, kStart) ==
        NextAction::Fail);
}

TEST_CASE("a non-idempotent request runs at most once and is refused exactly if it did not run") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Random random(seed);
    RetryWindow retries;
    RetryPolicy plan = PlanOf(seed % 2 == 0 ? RouteKind::NonIdempotent : RouteKind::Streaming, 3);
    int mayHaveRun = 0;
    NextAction action = NextAction::Send;
    while (action == NextAction::Send) {
      REQUIRE(mayHaveRun == 0);
      const AttemptOutcome outcome =
        kAttemptOutcomeNames[random.Below(kAttemptOutcomeNames.size())].first;
      const bool isKnownNotRun =
        outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NotRun;
      mayHaveRun += isKnownNotRun ? 0 : 1;
      action = plan.OnOutcome(outcome, false, retries, kGenerous, kStart);
    }
    CHECK(mayHaveRun <= 1);
    CHECK((action == NextAction::Refuse) == (mayHaveRun == 0));
  }
}

TEST_CASE("a request that failed at another entry may have run and is not sent again") {
  RetryWindow retries;
  for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Idempotent}) {
    RetryPolicy plan = PlanOf(kind, 3);
    CHECK(plan.RunsLeft() == 3);
    CHECK(plan.OnRunElsewhere(false) == NextAction::Fail);
    CHECK(plan.OnRunElsewhere(true) == NextAction::AbortAnswer);
    CHECK(plan.OnGivenUp(false) == NextAction::Fail);
  }
  RetryPolicy plan = PlanOf(RouteKind::Idempotent, 3);
  plan.OnOutcome(AttemptOutcome::Lost, false, retries, kGenerous, kStart);
  CHECK(plan.RunsLeft() == 2);
}

TEST_CASE("an idempotent request runs on no more servers than its route allows") {
  RetryWindow retries;
  RetryPolicy plan = PlanOf(RouteKind::Idempotent, 2);
  CHECK(plan.OnOutcome(AttemptOutcome::Lost, false, retries, kGenerous, kStart) ==
        NextAction::Send);
  CHECK(plan.OnOutcome(AttemptOutcome::Corrupt, false, retries, kGenerous, kStart) ==
        NextAction::Fail);
}

TEST_CASE("a server's own error is forwarded if no later attempt succeeds") {
  RetryWindow retries;
  RetryPolicy plan = PlanOf(RouteKind::Idempotent, 2);
  CHECK(plan.OnOutcome(AttemptOutcome::Failed, false, retries, kGenerous, kStart) ==
        NextAction::Send);
  CHECK(plan.OnOutcome(AttemptOutcome::Lost, false, retries, kGenerous, kStart) ==
        NextAction::ForwardFailure);
}

TEST_CASE("a stream that has begun is resumed or aborted, never restarted") {
  RetryWindow retries;
  RetryPolicy resumable = PlanOf(RouteKind::Streaming, 2, true);
  CHECK(resumable.OnOutcome(AttemptOutcome::Lost, true, retries, kGenerous, kStart) ==
        NextAction::Send);
  CHECK(resumable.OnOutcome(AttemptOutcome::Lost, true, retries, kGenerous, kStart) ==
        NextAction::AbortAnswer);
  RetryPolicy plain = PlanOf(RouteKind::Streaming, 2, false);
  CHECK(plain.OnOutcome(AttemptOutcome::Lost, true, retries, kGenerous, kStart) ==
        NextAction::AbortAnswer);
}

TEST_CASE("a request is not retried after its deadline") {
  RetryWindow retries;
  RetryPolicy plan = PlanOf(RouteKind::Idempotent, 3);
  CHECK(plan.OnOutcome(AttemptOutcome::NotSent, false, retries, kGenerous,
                       kStart + Milliseconds(999)) == NextAction::Refuse);
  CHECK(plan.OnOutcome(AttemptOutcome::Lost, false, retries, kGenerous, kStart + Seconds(1)) ==
        NextAction::Fail);
}

TEST_CASE("a larger model is asked only if a run remains for a lost connection") {
  RetryWindow retries;
  RetryPolicy plan = PlanOf(RouteKind::Streaming, 3, true);
  CHECK(plan.TryReplaceRun(1, retries, kGenerous, kStart));
  CHECK(!plan.TryReplaceRun(1, retries, kGenerous, kStart));
  CHECK(plan.MayHaveRun());
  CHECK(plan.OnOutcome(AttemptOutcome::Lost, false, retries, kGenerous, kStart) ==
        NextAction::Send);
  RetryPolicy fixed = PlanOf(RouteKind::Streaming, 3, false);
  CHECK(!fixed.TryReplaceRun(0, retries, kGenerous, kStart));
}

TEST_CASE("with an exhausted retry budget, only requests that did not run are refused as not run") {
  RetryWindow retries;
  const RetryLimits none = {.m_ratio = 0.0, .m_slack = 0.0};
  RetryPolicy plan = PlanOf(RouteKind::Idempotent, 3);
  CHECK(plan.OnOutcome(AttemptOutcome::NotRun, false, retries, none, kStart) == NextAction::Refuse);
  RetryPolicy lost = PlanOf(RouteKind::Idempotent, 3);
  CHECK(lost.OnOutcome(AttemptOutcome::Lost, false, retries, none, kStart) == NextAction::Fail);
}
