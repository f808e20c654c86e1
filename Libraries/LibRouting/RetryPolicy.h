#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibRouting/RetryWindow.h"
#include "LibRouting/RoutingConfiguration.h"

#include <cstdint>

namespace fennelline {

/// Guarantees that the router gives for one request.
struct RequestGuarantees {
  RouteKind m_kind = RouteKind::NonIdempotent;
  bool m_resumable = false;
  /// Maximum number of backend servers that may run it.
  int m_attempts = 1;
  /// Deadline of the final answer.
  Time m_answerBy = kNever;

  /// Whether it may run more than once.
  bool MayRepeat() const {
    return m_kind == RouteKind::Idempotent || (m_kind == RouteKind::Streaming && m_resumable);
  }
};

/// How an attempt on a backend server ended if its answer was not forwarded.
enum class AttemptOutcome : std::uint8_t {
  /// No byte of the request was sent.
  NotSent,
  /// The server reports that it did not run the request.
  NotRun,
  /// It may have run; no complete answer arrived.
  Lost,
  /// The received bytes are not a valid answer.
  Corrupt,
  /// The server ran the request and answered with an error of its own.
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
  /// Answer that the request has not run and will not run.
  Refuse,
  /// Answer that the request failed and may have run.
  Fail,
  /// Forward the server's own error.
  ForwardFailure,
  /// Abort the answer, since part of it has already been sent to the caller.
  AbortAnswer,
};

constexpr NameTable<NextAction, 5> kNextActionNames = {{
  {NextAction::Send, "send"},
  {NextAction::Refuse, "refuse"},
  {NextAction::Fail, "fail"},
  {NextAction::ForwardFailure, "pass-on"},
  {NextAction::AbortAnswer, "cut"},
}};

/// Decides what to do after each attempt of one request. It tracks whether the request may have
/// run, so that a refusal never claims "not run" for a request that may have.
class RetryPolicy {
public:
  explicit RetryPolicy(RequestGuarantees aPromise)
    : m_promise(aPromise) {}

  /// aAnswerBegun: part of an answer has been sent to the caller.
  NextAction OnOutcome(AttemptOutcome aOutcome, bool aAnswerBegun, RetryWindow& aRetries,
                       const RetryLimits& aRetryLimits, Time aNow);
  /// Ends the current run and counts a new one, if allowed with aSpare runs kept in reserve. The
  /// current run may then be cancelled.
  bool TryReplaceRun(int aSpare, RetryWindow& aRetries, const RetryLimits& aRetryLimits, Time aNow);
  /// No server can take the request, or its deadline has passed.
  NextAction OnGivenUp(bool aAnswerBegun) const;
  /// Another entry has sent the request to as many servers as it may.
  NextAction OnRunElsewhere(bool aAnswerBegun);
  /// Number of further runs that are allowed.
  int RunsLeft() const { return m_promise.m_attempts - m_runs; }
  /// Whether one more run is allowed now, without counting it.
  bool HasRunLeft() const { return m_promise.MayRepeat() && m_runs < m_promise.m_attempts; }
  bool MayHaveRun() const { return m_mayHaveRun; }
  const RequestGuarantees& Promise() const { return m_promise; }
  /// Number of attempts in which any byte was sent to a server.
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
