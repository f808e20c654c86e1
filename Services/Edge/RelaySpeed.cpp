// Learns the servers' speed and the length of answers, and uses both for a request.

#include "LibRouting/StreamMove.h"
#include "Services/Edge/CrashWatch.h"
#include "Services/Edge/Overload.h"
#include "Services/Edge/RequestRelay.h"
#include "Services/Edge/ServerSpeeds.h"

#include <algorithm>
#include <limits>

namespace fennelline {

namespace {

/// A stream's pace is checked after so many events, which last longer than half a second of noise
/// on the largest model.
constexpr int kEventsPerPaceCheck = 8;

} // namespace

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
  if (isKnown && !attempt.m_wasPaused && !attempt.m_backend->m_isEntry &&
      !std::exchange(attempt.m_hasLearnedPace, true)) {
    m_context.m_speeds->Speeds().LearnEventTime(attempt.m_backend->m_identity,
                                                SpeedKind(attempt.m_model), pace, attempt.m_load,
                                                m_context.m_loop.Now());
  }
}

void RequestRelay::LearnFirstEvent() {
  const Time now = m_context.m_loop.Now();
  const Duration taken = now - m_attempt->m_sentAt;
  m_context.m_prefillSpeed.Learn(m_attempt->m_model, m_prefillTokens, m_expectedPrefillWait, taken);
  if (m_context.m_overload->State(m_service) != SurgeState::Calm) {
    // The request may have waited in the server's queue, which says nothing of the server's speed.
    return;
  }
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

LargerModel RequestRelay::ExpectModel(const Service& aService, std::size_t aIndex,
                                      const BackendLink* aExcept) const {
  const Time now = m_context.m_loop.Now();
  const PlacementQuery query = MakeQuery(&aService, m_route->m_models[aIndex]);
  // The events that the caller has are part of the prompt of a resumed stream.
  const Duration resumed = m_context.m_prefillSpeed.PrefillTime(
    m_route->m_models[aIndex], m_framer.CountEvents() * aService.m_tokensPerEvent);
  constexpr double kNone = std::numeric_limits<double>::infinity();
  LargerModel best{.m_index = aIndex, .m_firstEventMs = kNone, .m_endMs = kNone};
  for (const std::shared_ptr<BackendLink>& backend : Eligible(aExcept)) {
    const double factor = SpeedFactor(*backend);
    const double cachedMs = backend->m_prefixes.Holds(query.m_prefix, now) ? query.m_prefixMs : 0.0;
    const double firstMs =
      InFractionalMilliseconds(backend->m_prefillLoad.Left(now)) +
      (query.m_promptMs - cachedMs + InFractionalMilliseconds(resumed)) * factor;
    const double endMs = firstMs + query.m_generateMs * factor;
    if (!backend->m_health.IsAvoided(now) && endMs < best.m_endMs) {
      best.m_firstEventMs = firstMs;
      best.m_endMs = endMs;
    }
  }
  return best;
}

std::optional<std::size_t> RequestRelay::LargerModelToAsk() const {
  const EscalationPolicy policy;
  const bool mayAsk =
    m_attempt->m_isStream && !m_answerBegun && m_modelIndex == 0 && m_route->m_models.size() > 1;
  const std::optional<int> confidence = m_attempt->m_metadata.m_confidence;
  const Service* service = m_routes->FindService(m_service);
  if (!mayAsk || service == nullptr || !policy.IsDoubtful(confidence, 0.0)) {
    return std::nullopt;
  }
  const Time now = m_context.m_loop.Now();
  DoubtfulAnswer answer{.m_confidence = confidence,
                        .m_msBehind = MeanPrefillMs(),
                        .m_timeLeftMs =
                          InFractionalMilliseconds(m_retryPolicy.Promise().m_answerBy - now),
                        .m_objectiveLeftMs = std::nullopt};
  if (m_route->m_objective > Duration(0)) {
    answer.m_objectiveLeftMs =
      InFractionalMilliseconds(m_request.m_arrived + m_route->m_objective - now);
  }
  std::vector<LargerModel> larger;
  for (std::size_t index = 1; index < m_route->m_models.size(); ++index) {
    larger.push_back(ExpectModel(*service, index));
  }
  return policy.ChooseModel(answer, larger);
}

std::optional<double> RequestRelay::CheckRestMs(const Service& aService, Duration aStalled) {
  Attempt& attempt = *m_attempt;
  const Time now = m_context.m_loop.Now();
  const std::int64_t events = m_framer.CountEvents();
  const std::int64_t gaps = events - attempt.m_paceCheckedEvents;
  const bool isFirst = attempt.m_paceCheckedAt == Time{};
  if (isFirst || (gaps < kEventsPerPaceCheck && aStalled <= Duration(0))) {
    attempt.m_paceCheckedAt = isFirst ? now : attempt.m_paceCheckedAt;
    attempt.m_paceCheckedEvents = isFirst ? events : attempt.m_paceCheckedEvents;
    return std::nullopt;
  }
  const double paceMs =
    gaps < kEventsPerPaceCheck
      ? InFractionalMilliseconds(attempt.m_pace.Value())
      : InFractionalMilliseconds(now - attempt.m_paceCheckedAt) / static_cast<double>(gaps);
  if (aStalled <= Duration(0)) {
    attempt.m_paceCheckedAt = now;
    attempt.m_paceCheckedEvents = events;
  }
  // A stall is expected to last as long again.
  return EventsLeft(aService) * paceMs + InFractionalMilliseconds(aStalled);
}

bool RequestRelay::MoveSlowStream(Duration aStalled) {
  Attempt& attempt = *m_attempt;
  const Time now = m_context.m_loop.Now();
  const Service* service = m_routes->FindService(m_service);
  const bool mayMove = attempt.m_events > 0 && !attempt.m_wasPaused &&
                       !attempt.m_backend->m_isEntry && service != nullptr && service->m_isEngine &&
                       !m_route->m_models.empty() && !m_framer.IsPlaceUnknown() &&
                       m_retryPolicy.HasRunLeft();
  SlowStream stream{.m_restHereMs = mayMove ? CheckRestMs(*service, aStalled) : std::nullopt,
                    .m_restElsewhereMs = 0.0,
                    .m_timeLeftMs =
                      InFractionalMilliseconds(m_retryPolicy.Promise().m_answerBy - now)};
  if (!MayBeCut(stream) || !HasUnlimitedServer(attempt.m_backend.get())) {
    return false;
  }
  stream.m_restElsewhereMs = ExpectModel(*service, m_modelIndex, attempt.m_backend.get()).m_endMs;
  if (!IsMoveWorthwhile(stream) || IsSuspect() || !MayRun() || !TryReplaceRun(0)) {
    return false;
  }
  LogLine line("stream-moved");
  line.Text("id", m_metadata.m_requestId).Text("backend", attempt.m_backend->m_record.m_id);
  line.Real("rest-here", stream.m_restHereMs.value_or(0.0))
    .Real("rest-elsewhere", stream.m_restElsewhereMs);
  line.Real("time-left", stream.m_timeLeftMs).Count("events", m_framer.CountEvents());
  m_context.Log(LogPriority::Notable, line);
  m_context.m_loop.Cancel(std::exchange(m_stallTimer, EventLoop::kNoTimer));
  m_context.m_crashWatch->OnCancelled(*attempt.m_backend, CurrentRun());
  m_triedBackends.push_back(attempt.m_backend->m_record.m_id);
  ReleaseAttempt();
  Dispatch();
  return true;
}

} // namespace fennelline
