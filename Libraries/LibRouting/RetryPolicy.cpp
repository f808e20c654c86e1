#include "LibRouting/RetryPolicy.h"

namespace fennelline {

namespace {

/// Connections that may fail before a request is given up: a third of a small service may be down
/// at once, so fewer would fail requests that others could take.
constexpr int kMostUnsent = 6;

/// Servers that may turn a request away, beyond the runs that it is allowed.
constexpr int kMostTurnedAway = 3;

/// With less time left, no server's answer would be in time.
constexpr Duration kLeastTime = Milliseconds(5);

} // namespace

NextAction RetryPolicy::OnGivenUp(bool aAnswerBegun) const {
  if (aAnswerBegun) {
    return NextAction::AbortAnswer;
  }
  if (m_hasFailure) {
    return NextAction::ForwardFailure;
  }
  return m_mayHaveRun ? NextAction::Fail : NextAction::Refuse;
}

bool RetryPolicy::TryReplaceRun(int aSpare, RetryWindow& aRetries,
                                const RetryWindowPlan& aRetryPlan, Time aNow) {
  const bool hasTime = aNow + kLeastTime < m_promise.m_answerBy;
  const bool hasRuns = m_promise.MayRepeat() && m_runs + 1 + aSpare < m_promise.m_attempts;
  if (!hasTime || !hasRuns || !aRetries.TrySpend(aRetryPlan, aNow)) {
    return false;
  }
  ++m_sends;
  ++m_runs;
  m_mayHaveRun = true;
  return true;
}

NextAction RetryPolicy::OnOutcome(AttemptOutcome aOutcome, bool aAnswerBegun, RetryWindow& aRetries,
                                  const RetryWindowPlan& aRetryPlan, Time aNow) {
  const bool hasTime = aNow + kLeastTime < m_promise.m_answerBy;
  if (aOutcome == AttemptOutcome::NotSent) {
    ++m_unsent;
    return hasTime && m_unsent < kMostUnsent ? NextAction::Send : OnGivenUp(aAnswerBegun);
  }
  ++m_sends;
  if (aOutcome == AttemptOutcome::NotRun) {
    const bool mayGoOn = hasTime && m_sends < m_promise.m_attempts + kMostTurnedAway;
    return mayGoOn && aRetries.TrySpend(aRetryPlan, aNow) ? NextAction::Send
                                                          : OnGivenUp(aAnswerBegun);
  }
  ++m_runs;
  m_mayHaveRun = true;
  m_hasFailure = m_hasFailure || aOutcome == AttemptOutcome::Failed;
  if (hasTime && HasRunLeft() && aRetries.TrySpend(aRetryPlan, aNow)) {
    return NextAction::Send;
  }
  return OnGivenUp(aAnswerBegun);
}

} // namespace fennelline
