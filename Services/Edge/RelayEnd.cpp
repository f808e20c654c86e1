// Decides whether a backend server's response is complete once it has ended.

#include "LibRouting/AnswerEnd.h"
#include "Services/Edge/RequestRelay.h"

namespace fennelline {

namespace {

/// How long the end of a process may take to close all of its connections, as seen from here.
constexpr Duration kExitTime = Milliseconds(20);

} // namespace

void RequestRelay::OnComplete() {
  if (m_ended || !m_attempt) {
    return;
  }
  if (m_attempt->m_entryOutcome) {
    EndPassedOn(*m_attempt->m_entryOutcome);
    return;
  }
  if (m_attempt->m_notRun) {
    EndAttempt(AttemptOutcome::NotRun);
    return;
  }
  OnAnswerEnded(std::nullopt);
}

void RequestRelay::OnAnswerEnded(std::optional<Reachability> aServer) {
  const bool mayBeAtEnd = m_route->m_resumable && m_metadata.m_lastEvent;
  const bool endsAtClose = m_attempt->m_head.m_bodyEndsAtClose;
  const AnswerEnd end{.m_endsAtClose = endsAtClose,
                      .m_isStream = m_attempt->m_isStream,
                      .m_hasPartialEvent = m_framer.HasPartial(),
                      .m_lacksEvents = m_framer.CountEvents() == 0 && !mayBeAtEnd &&
                                       (IsStreamDue() || endsAtClose),
                      .m_server = aServer,
                      .m_hasIdleConnections = m_attempt->m_backend->m_pool.CountIdle() > 0};
  switch (JudgeEnd(end)) {
    case EndVerdict::Whole:
      CompleteAnswer();
      return;
    case EndVerdict::Cut:
      m_attempt->m_failure = CallFailure::TruncatedResponse;
      EndAttempt(AttemptOutcome::Lost);
      return;
    case EndVerdict::Corrupt:
      EndAttempt(AttemptOutcome::Corrupt);
      return;
    case EndVerdict::AskServer:
      AskServerAtEnd();
      return;
  }
}

void RequestRelay::AskServerAtEnd() {
  // The pool must outlive the check, and the server may be removed meanwhile. The connection of the
  // check serves the next request.
  const std::shared_ptr<BackendLink> backend = m_attempt->m_backend;
  backend->m_pool.CheckReachability(
    [self = shared_from_this(), backend, channel = m_attempt->m_channel](Reachability aResult) {
      const auto judge = [self, channel, aResult] {
        if (!self->m_ended && self->m_attempt && self->m_attempt->m_channel == channel) {
          self->OnAnswerEnded(aResult);
        }
      };
      self->m_context.m_metrics.OnServerCheck(aResult);
      if (aResult == Reachability::Refuses && backend->m_pool.CountIdle() > 0) {
        self->m_context.m_loop.After(kExitTime, judge);
      } else {
        judge();
      }
    });
}

} // namespace fennelline
