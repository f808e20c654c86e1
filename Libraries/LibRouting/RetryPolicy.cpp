#include "LibRouting/RetryPolicy.h"

namespace fennelline {

namespace {

/// Maximum failed connections per request. A third of a small service may be down at once, so a
/// lower limit would fail requests that another server could take.
constexpr int kMaxUnsent = 6;

/// Rejections allowed per request beyond its permitted runs.
constexpr int kMaxRejections = 3;

/// With less time left, no answer can meet the deadline.
constexpr Duration kMinTime = Milliseconds(5);

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

NextAction RetryPolicy::OnRunElsewhere(bool aAnswerBegun) {
  m_mayHaveRun = true;
  return OnGivenUp(aAnswerBegun);
}

bool RetryPolicy::TryReplaceRun(int aSpare, RetryWindow& aRetries, const RetryLimits& aRetryLimits,
                                Time aNow) {
  const bool hasTime = aNow + kMinTime < m_promise.m_answerBy;
  const bool hasRuns = m_promise.MayRepeat() && m_runs + 1 + aSpare < m_promise.m_attempts;
  if (!hasTime || !hasRuns || !aRetries.TrySpend(aRetryLimits, aNow)) {
    return false;
  }
  ++m_sends;
  ++m_runs;
  m_mayHaveRun = true;
  return true;
}

NextAction RetryPolicy::OnOutcome(AttemptOutcome aOutcome, bool aAnswerBegun, RetryWindow& aRetries,
                                  const RetryLimits& aRetryLimits, Time aNow) {
  const bool hasTime = aNow + kMinTime < m_promise.m_answerBy;
  if (aOutcome == AttemptOutcome::NotSent) {
    ++m_unsent;
    return hasTime && m_unsent < kMaxUnsent ? NextAction::Send : OnGivenUp(aAnswerBegun);
  }
  ++m_sends;
  if (aOutcome == AttemptOutcome::NotRun) {
    const bool mayGoOn = hasTime && m_sends - kMaxRejections < m_promise.m_attempts;
    return mayGoOn && aRetries.TrySpend(aRetryLimits, aNow) ? NextAction::Send
                                                            : OnGivenUp(aAnswerBegun);
  }
  ++m_runs;
  m_mayHaveRun = true;
  m_hasFailure = m_hasFailure || aOutcome == AttemptOutcome::Failed;
  if (hasTime && HasRunLeft() && aRetries.TrySpend(aRetryLimits, aNow)) {
    return NextAction::Send;
  }
  return OnGivenUp(aAnswerBegun);
}

} // namespace fennelline
