#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibRouting/RetryWindow.h"
#include "LibRouting/RoutingConfiguration.h"

#include <cstdint>

namespace fennelline {

/// What the router owes one request.
struct RequestGuarantees {
  RouteKind m_kind = RouteKind::NonIdempotent;
  bool m_resumable = false;
  /// Backend servers that it may run on.
  int m_attempts = 1;
  /// The final answer is given by then.
  Time m_answerBy = kNever;

  /// Whether it may run more than once.
  bool MayRepeat() const {
    return m_kind == RouteKind::Idempotent || (m_kind == RouteKind::Streaming && m_resumable);
  }
};

/// How one send to a backend server ended without the answer being passed on.
enum class AttemptOutcome : std::uint8_t {
  /// No byte of the request left.
  NotSent,
  /// The server says that it did not run the request.
  NotRun,
  /// It may have run; no whole answer came.
  Lost,
  /// What came cannot be the answer.
  Spoilt,
  /// The server ran the request and answers with a failure of its own.
  Failed,
};

constexpr NameTable<AttemptOutcome, 5> kAttemptOutcomeNames = {{
  {AttemptOutcome::NotSent, "not-sent"},
  {AttemptOutcome::NotRun, "not-run"},
  {AttemptOutcome::Lost, "lost"},
  {AttemptOutcome::Corrupt, "spoilt"},
  {AttemptOutcome::Failed, "failed"},
}};

enum class NextAction : std::uint8_t {
  /// Send it to another server.
  Send,
  /// Answer that it has not run and will not.
  Refuse,
  /// Answer that it failed and may have run.
  Fail,
  /// Pass the server's own failure on.
  PassOn,
  /// Part of the answer has gone to the caller: break it off.
  Cut,
};

constexpr NameTable<NextAction, 5> kNextActionNames = {{
  {NextAction::Send, "send"},
  {NextAction::Refuse, "refuse"},
  {NextAction::Fail, "fail"},
  {NextAction::ForwardFailure, "pass-on"},
  {NextAction::AbortAnswer, "cut"},
}};

/// Decides what follows after each attempt of one request. It alone knows whether the request may
/// have run, so no refusal can say "not run" of one that has.
class RetryPolicy {
public:
  explicit RetryPolicy(RequestGuarantees aPromise)
    : m_promise(aPromise) {}

  /// aAnswerBegun: part of an answer has gone to the caller.
  NextAction OnOutcome(AttemptOutcome aOutcome, bool aAnswerBegun, RetryWindow& aRetries,
                       const RetryWindowPlan& aRetryPlan, Time aNow);
  /// Counts the run in hand as ended and one more as sent, if that is allowed with aSpare runs kept
  /// back. The run in hand may then be given up.
  bool TryReplaceRun(int aSpare, RetryWindow& aRetries, const RetryWindowPlan& aRetryPlan,
                     Time aNow);
  /// No server can take it, or its time is over.
  NextAction OnGivenUp(bool aAnswerBegun) const;
  /// Whether one more run would be allowed now, without counting it.
  bool HasRunLeft() const { return m_promise.MayRepeat() && m_runs < m_promise.m_attempts; }
  bool MayHaveRun() const { return m_mayHaveRun; }
  const RequestGuarantees& Promise() const { return m_promise; }
  /// Times that some byte of it went to a server.
  int Sends() const { return m_sends; }

private:
  RequestGuarantees m_promise;
  int m_sends = 0;
  int m_runs = 0;
  int m_unsent = 0;
  bool m_mayHaveRun = false;
  bool m_hasFailure = false;
};

} // namespace fennelline
