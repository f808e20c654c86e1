// Decides whether a backend server's response is complete once it has ended.

#include "LibRouting/AnswerEnd.h"
#include "Services/Edge/HealthChecks.h"
#include "Services/Edge/RequestRelay.h"

namespace fennelline {

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

void RequestRelay::OnAnswerEnded(std::optional<ServerLiveness> aServer) {
  const bool mayBeAtEnd = m_route->m_resumable && m_metadata.m_lastEvent;
  const bool endsAtClose = m_attempt->m_head.m_bodyEndsAtClose;
  const AnswerEnd end{.m_endsAtClose = endsAtClose,
                      .m_isStream = m_attempt->m_isStream,
                      .m_hasPartialEvent = m_framer.HasPartial(),
                      .m_lacksEvents = m_framer.CountEvents() == 0 && !mayBeAtEnd &&
                                       (IsStreamDue() || endsAtClose),
                      .m_server = aServer};
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
  m_context.m_healthChecks->Ask(
    m_attempt->m_backend,
    [self = shared_from_this(), channel = m_attempt->m_channel](ServerLiveness aServer) {
      if (!self->m_ended && self->m_attempt && self->m_attempt->m_channel == channel) {
        self->OnAnswerEnded(aServer);
      }
    });
}

} // namespace fennelline
