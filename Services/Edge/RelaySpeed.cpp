// Learns the servers' speed and the length of answers, and uses both for a request.

#include "Services/Edge/RequestRelay.h"
#include "Services/Edge/ServerSpeeds.h"

#include <algorithm>

namespace fennelline {

double RequestRelay::EventsLeft(const Service& aService) const {
  const double expected = m_context.m_speeds->Lengths().ExpectedEvents(m_route->m_name, m_metadata,
                                                                       aService.m_tokensPerEvent);
  const std::int64_t before = m_route->m_resumable ? m_metadata.m_lastEvent.value_or(0) : 0;
  return std::max(0.0, expected - static_cast<double>(before + m_framer.CountEvents()));
}

std::string RequestRelay::SpeedKind(const std::string& aModel) const {
  return m_service + "/" + (aModel.empty() ? m_metadata.m_model : aModel);
}

double RequestRelay::GenerateMs(const Service& aService, const std::string& aModel) const {
  const Duration eventTime = m_context.m_speeds->Speeds().UsualEventTime(SpeedKind(aModel));
  return std::max(0.0, EventsLeft(aService) - 1.0) * InFractionalMilliseconds(eventTime);
}

void RequestRelay::AddExpectedTimes(PlacementQuery& aQuery, const Service& aService,
                                    const std::string& aModel) const {
  if (m_route->m_kind != RouteKind::Streaming) {
    return;
  }
  aQuery.m_generateMs = GenerateMs(aService, aModel);
  aQuery.m_timeLeftMs = std::max(
    1.0, InFractionalMilliseconds(m_retryPolicy.Promise().m_answerBy - m_context.m_loop.Now()));
}

double RequestRelay::SpeedFactor(const BackendLink& aBackend) const {
  return m_context.m_speeds->Speeds().Factor(aBackend.m_identity, m_context.m_loop.Now());
}

void RequestRelay::LearnPace(bool aIsEnd) {
  Attempt& attempt = *m_attempt;
  const Duration pace = attempt.m_pace.Value();
  // With fewer gaps, one that a long prompt delays decides; at the end there are no more.
  const bool isKnown = pace > Duration(0) && (aIsEnd || attempt.m_pace.HasMedian());
  if (isKnown && !attempt.m_backend->m_isEntry && !std::exchange(attempt.m_hasLearnedPace, true)) {
    m_context.m_speeds->Speeds().LearnEventTime(attempt.m_backend->m_identity,
                                                SpeedKind(attempt.m_model), pace, attempt.m_load,
                                                m_context.m_loop.Now());
  }
}

void RequestRelay::LearnFirstEvent() {
  const Time now = m_context.m_loop.Now();
  const Duration taken = now - m_attempt->m_sentAt;
  m_context.m_prefillSpeed.Learn(m_attempt->m_model, m_prefillTokens, m_expectedPrefillWait, taken);
  m_context.m_speeds->Speeds().LearnPrefill(
    m_attempt->m_backend->m_identity, SpeedKind(m_attempt->m_model),
    m_context.m_prefillSpeed.PrefillTime(m_attempt->m_model, m_prefillTokens),
    taken - m_expectedPrefillWait, now);
}

void RequestRelay::LearnLength() {
  const Service* service = m_routes->FindService(m_service);
  if (service == nullptr || !service->m_isEngine || !m_attempt->m_isStream ||
      m_metadata.m_lastEvent) {
    return;
  }
  m_context.m_speeds->Lengths().Learn(m_route->m_name, m_metadata,
                                      static_cast<double>(m_framer.CountEvents()),
                                      service->m_tokensPerEvent);
}

} // namespace fennelline
